/** Random faults on a fleet, one after the other or at once, from a seed. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type UpstreamBehaviour } from '@cleatquay/standins';
import { type Fleet, type FleetNode } from './fleet.js';

const LONGEST_FREEZE_MS = 4000;
const LONGEST_CUT_MS = 4000;

/** What can go wrong. */
export type FaultName =
  | 'freeze-daemon'
  | 'freeze-upstream'
  | 'replace-vm'
  | 'cut-one-way'
  | 'cut-both-ways'
  | 'platform-down'
  | 'platform-loses-answers'
  | 'drain-and-back';

const FAULTS: readonly FaultName[] = [
  'freeze-daemon',
  'freeze-daemon',
  'freeze-upstream',
  'replace-vm',
  'cut-one-way',
  'cut-both-ways',
  'platform-down',
  'platform-loses-answers',
  'drain-and-back',
];

/** Causes faults until told to stop, and puts everything right again. */
export class FaultPlan {
  readonly counts: Record<string, number> = {};
  private readonly busy = new Set<FleetNode>();
  private readonly running = new Set<Promise<void>>();

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly behaviour: Partial<UpstreamBehaviour>,
    /** Told of a VM that is about to be killed. */
    private readonly onReplaced: (old: FleetNode, fresh: FleetNode) => void,
  ) {}

  /** One fault every `everyMs` on average, for `ms`. */
  async run(ms: number, everyMs: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      const fault = FAULTS[Math.floor(this.random() * FAULTS.length)] ?? 'freeze-daemon';
      const caused = this.cause(fault).finally(() => this.running.delete(caused));
      this.running.add(caused);
      await this.clock.sleep(everyMs * 2 * this.random());
    }
    await Promise.all(this.running);
  }

  private async cause(fault: FaultName): Promise<void> {
    const node = this.pick();
    if (!node) return;
    this.counts[fault] = (this.counts[fault] ?? 0) + 1;
    this.busy.add(node);
    await this.act(fault, node).catch(() => undefined);
    this.busy.delete(node);
  }

  private async act(fault: FaultName, node: FleetNode): Promise<void> {
    if (fault === 'freeze-daemon') return this.freeze(node.daemon.signal.bind(node.daemon));
    if (fault === 'freeze-upstream') return this.freeze(node.upstream.signal.bind(node.upstream));
    if (fault === 'replace-vm') return this.replace(node);
    if (fault === 'platform-down') return this.platform({ down: true }, { down: false });
    if (fault === 'platform-loses-answers') return this.platform({ loseAnswers: 0.5 }, { loseAnswers: 0 });
    if (fault === 'drain-and-back') return this.drain(node);
    return this.cut(node, fault === 'cut-both-ways');
  }

  private pick(): FleetNode | undefined {
    const free = this.fleet.nodes.filter(node => !this.busy.has(node));
    return free[Math.floor(this.random() * free.length)];
  }

  private async freeze(signal: (name: NodeJS.Signals) => void): Promise<void> {
    signal('SIGSTOP');
    await this.clock.sleep(this.random() * LONGEST_FREEZE_MS);
    signal('SIGCONT');
  }

  private async replace(node: FleetNode): Promise<void> {
    const fresh = await this.fleet.replace(node, this.behaviour);
    this.onReplaced(node, fresh);
  }

  private async platform(faults: object, calm: object): Promise<void> {
    await this.fleet.disturbPlatform(faults);
    await this.clock.sleep(this.random() * LONGEST_CUT_MS);
    await this.fleet.disturbPlatform(calm);
  }

  private async drain(node: FleetNode): Promise<void> {
    await this.fleet.behave(node, { draining: true });
    await this.clock.sleep(this.random() * LONGEST_CUT_MS);
    await this.fleet.behave(node, { draining: false });
  }

  private async cut(node: FleetNode, bothWays: boolean): Promise<void> {
    const others = this.fleet.nodes.filter(other => other !== node && this.random() < 0.5);
    await this.fleet.cut(node, others);
    if (bothWays) await Promise.all(others.map(other => this.fleet.cut(other, [node])));
    await this.clock.sleep(this.random() * LONGEST_CUT_MS);
    await this.fleet.cut(node, []);
    if (bothWays) await Promise.all(others.map(other => this.fleet.cut(other, []).catch(() => undefined)));
  }
}

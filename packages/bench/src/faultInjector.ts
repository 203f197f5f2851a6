/** Injects random faults into a fleet, possibly several at once. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type UpstreamBehaviour } from '@cleatquay/standins';
import { type Fleet, type FleetNode } from './fleet.js';

const MAX_FREEZE_MS = 4000;
const MAX_FAULT_MS = 4000;

export type FaultName =
  | 'freeze-daemon'
  | 'freeze-upstream'
  | 'replace-vm'
  | 'cut-one-way'
  | 'cut-both-ways'
  | 'platform-down'
  | 'platform-loses-answers'
  | 'drain-and-back';

/** A fault that is listed twice is twice as likely. */
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

/** Injects faults for a given time, and ends each of them. */
export class FaultInjector {
  /** Number of injections, by fault. */
  readonly counts: Record<string, number> = {};
  private readonly faultyNodes = new Set<FleetNode>();
  private readonly pendingFaults = new Set<Promise<void>>();

  constructor(
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly behaviour: Partial<UpstreamBehaviour>,
    /** Called after a VM was killed and replaced. */
    private readonly onReplaced: (old: FleetNode, replacement: FleetNode) => void,
  ) {}

  /** Injects a fault every `meanIntervalMs` on average for `ms`, then waits until all of them have ended. */
  async run(ms: number, meanIntervalMs: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      const fault = FAULTS[Math.floor(this.random() * FAULTS.length)] ?? 'freeze-daemon';
      const injected = this.injectAtRandomNode(fault).finally(() => this.pendingFaults.delete(injected));
      this.pendingFaults.add(injected);
      await this.clock.sleep(meanIntervalMs * 2 * this.random());
    }
    await Promise.all(this.pendingFaults);
  }

  private async injectAtRandomNode(fault: FaultName): Promise<void> {
    const node = this.pickNode();
    if (!node) return;
    this.counts[fault] = (this.counts[fault] ?? 0) + 1;
    this.faultyNodes.add(node);
    await this.inject(fault, node).catch(() => undefined);
    this.faultyNodes.delete(node);
  }

  private async inject(fault: FaultName, node: FleetNode): Promise<void> {
    if (fault === 'freeze-daemon') return this.freeze(node.daemon.signal.bind(node.daemon));
    if (fault === 'freeze-upstream') return this.freeze(node.upstream.signal.bind(node.upstream));
    if (fault === 'replace-vm') return this.replace(node);
    if (fault === 'platform-down') return this.injectPlatformFaults({ down: true }, { down: false });
    if (fault === 'platform-loses-answers')
      return this.injectPlatformFaults({ loseAnswers: 0.5 }, { loseAnswers: 0 });
    if (fault === 'drain-and-back') return this.drain(node);
    return this.partition(node, fault === 'cut-both-ways');
  }

  private pickNode(): FleetNode | undefined {
    const available = this.fleet.nodes.filter(node => !this.faultyNodes.has(node));
    return available[Math.floor(this.random() * available.length)];
  }

  private async freeze(signal: (name: NodeJS.Signals) => void): Promise<void> {
    signal('SIGSTOP');
    await this.clock.sleep(this.random() * MAX_FREEZE_MS);
    signal('SIGCONT');
  }

  private async replace(node: FleetNode): Promise<void> {
    const replacement = await this.fleet.replaceNode(node, this.behaviour);
    this.onReplaced(node, replacement);
  }

  private async injectPlatformFaults(faults: object, recovery: object): Promise<void> {
    await this.fleet.setPlatformFaults(faults);
    await this.clock.sleep(this.random() * MAX_FAULT_MS);
    await this.fleet.setPlatformFaults(recovery);
  }

  private async drain(node: FleetNode): Promise<void> {
    await this.fleet.setBehaviour(node, { draining: true });
    await this.clock.sleep(this.random() * MAX_FAULT_MS);
    await this.fleet.setBehaviour(node, { draining: false });
  }

  private async partition(node: FleetNode, bothWays: boolean): Promise<void> {
    const others = this.fleet.nodes.filter(other => other !== node && this.random() < 0.5);
    await this.fleet.setPartition(node, others);
    if (bothWays) await Promise.all(others.map(other => this.fleet.setPartition(other, [node])));
    await this.clock.sleep(this.random() * MAX_FAULT_MS);
    await this.fleet.setPartition(node, []);
    if (bothWays)
      await Promise.all(others.map(other => this.fleet.setPartition(other, []).catch(() => undefined)));
  }
}

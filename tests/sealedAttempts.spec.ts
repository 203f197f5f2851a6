/** Seals of lost attempts while daemons restart with jumping clocks, and members miss some of it. */
import { SimulatedNetwork, simulatedAddresses } from '@cleatquay/bench';
import {
  AttemptRegistry,
  type CallResponse,
  ConnectionLoss,
  DecisionTrace,
  EMPTY_BODY,
  FleetRetryBudget,
  Forwarder,
  type Peers,
  ProcessIdentity,
  ReplayableBody,
  UpstreamDispatcher,
  type UpstreamDispatcherOptions,
  replay,
  singlePartResponse,
} from '@cleatquay/calls';
import { NEVER_CANCELLED } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type RequestHead, type SealAnswer, type SealRequest, refusalPart } from '@cleatquay/protocol';
import { Router, UpstreamDirectory } from '@cleatquay/routing';
import { expect } from 'chai';
import fc from 'fast-check';
import { CALL_CONTEXT, REQUEST_HEAD } from './fixtures/callContext.js';
import { isolatedQuarantine } from './fixtures/isolatedQuarantine.js';

const SERVICE = 's';
const ROUTE = { name: 's.run', service: SERVICE, idempotent: false, calls: [] };
const [SENDER, ...DAEMONS] = simulatedAddresses(4) as [string, ...string[]];
const LINK_DELAY_MS = 2;
const WORK_MS = 400;
const REMAINING_MS = 5000;
/** Long enough for all requests to end, and for all that was held up to arrive. */
const END_MS = 2 * REMAINING_MS;

/** One step of a schedule; `daemon` is an index, that after the last daemon stands for the sender; times are in ms. */
type Step =
  | { readonly kind: 'start'; readonly daemon: number; readonly clockAheadMs: number }
  | { readonly kind: 'kill' | 'cut' | 'heal' | 'breakLink' | 'holdLink'; readonly daemon: number }
  | { readonly kind: 'send'; readonly count: number }
  | { readonly kind: 'pass'; readonly ms: number };

/** A process of a daemon: its membership, and its attempts. */
interface Process {
  readonly identity: ProcessIdentity;
  readonly attempts: AttemptRegistry;
  readonly dispatcher: UpstreamDispatcher;
  isAlive: boolean;
}

/** A link from the sender to one process. Frames of a link that was held arrive late, even after the sender has given it up. */
interface Link {
  readonly process: Process;
  readonly lose: Set<(error: ConnectionLoss) => void>;
  heldFrames: (() => void)[] | undefined;
}

/** Three daemons of a service, one that sends requests to them, and how often each request ran. */
class SealSimulation implements AsyncDisposable {
  readonly runs = new Map<string, number>();
  readonly outcomes = new Map<string, string>();
  private readonly network: SimulatedNetwork;
  private readonly processes = new Map<string, Process>();
  private readonly links = new Map<string, Link>();
  private readonly cutOff = new Set<string>();
  private readonly directory = new UpstreamDirectory();
  private readonly forwarder: Forwarder;
  private readonly sender: Membership;
  private requests = 0;

  constructor(seed: string) {
    const network = (this.network = new SimulatedNetwork(seed));
    const { clock, random } = network;
    network.deliveryPolicy = (from, to) =>
      this.cutOff.has(from) || this.cutOff.has(to) ? 'lose' : 'deliver';
    this.sender = network.start(SENDER, DAEMONS);
    const peers = {
      exchange: (address: string, head: RequestHead) => this.exchange(address, head),
      seal: (address: string, request: SealRequest) => this.seal(address, request),
    };
    this.forwarder = new Forwarder({
      clock,
      random,
      router: new Router({ clock, random, directory: this.directory, self: SENDER, failureDomain: 'a' }),
      peers: peers as unknown as Peers,
      retries: new FleetRetryBudget(clock, { ratio: 1, extra: 10_000, windowMs: 10_000 }, () => 1),
      freeReroutes: 3,
      signalsEnforceDeadline: false,
      decisionTrace: new DecisionTrace(clock),
      quarantine: isolatedQuarantine(clock),
      self: SENDER,
      local: () => expect.fail('served locally'),
    });
  }

  /** Plays a schedule to its end. */
  async play(steps: readonly Step[]): Promise<void> {
    for (const step of steps) await this.take(step);
    for (const address of DAEMONS) this.releaseFrames(address);
    this.cutOff.clear();
    await this.pass(END_MS);
  }

  /** Requests that ran more than once, and those that were reported as not run though they ran. */
  get violations(): string[] {
    return [...this.outcomes].flatMap(([id, outcome]) => {
      const runs = this.runs.get(id) ?? 0;
      return runs > 1 || (outcome === 'not-run' && runs > 0)
        ? [`${id}: ${outcome}, ${String(runs)} runs`]
        : [];
    });
  }

  [Symbol.asyncDispose](): Promise<void> {
    return this.network[Symbol.asyncDispose]();
  }

  private async take(step: Step): Promise<void> {
    if (step.kind === 'pass') return this.pass(step.ms);
    if (step.kind === 'send') return this.send(step.count);
    const address = DAEMONS[step.daemon] ?? SENDER;
    if (step.kind === 'start') await this.start(address, step.clockAheadMs);
    if (step.kind === 'kill') await this.kill(address);
    if (step.kind === 'cut') this.cutOff.add(address);
    if (step.kind === 'heal') this.cutOff.delete(address);
    if (step.kind === 'breakLink') this.breakLink(address);
    if (step.kind === 'holdLink') this.holdLink(address);
    await this.pass(10);
  }

  private async start(address: string, clockAheadMs: number): Promise<void> {
    await this.kill(address);
    const { clock } = this.network;
    const epoch = clock.date().getTime() + clockAheadMs;
    const seeds = [SENDER, ...DAEMONS].filter(other => other !== address);
    const membership = this.network.start(address, seeds, 'a', epoch);
    const upstream = { service: SERVICE, address, slots: 100, connections: 100, draining: false };
    membership.setUpstreams([upstream]);
    const identity = new ProcessIdentity(clock);
    const attempts = new AttemptRegistry(clock, () => 600_000);
    const options = { clock, process: identity, epoch: () => membership.me.epoch, attempts };
    const dispatcher = new UpstreamDispatcher(options as unknown as UpstreamDispatcherOptions);
    this.processes.set(address, { identity, attempts, dispatcher, isAlive: true });
  }

  private async kill(address: string): Promise<void> {
    const process = this.processes.get(address);
    if (!process) return;
    process.isAlive = false;
    this.processes.delete(address);
    await this.network.kill(address);
    this.breakLink(address);
  }

  private breakLink(address: string): void {
    const link = this.links.get(address);
    this.links.delete(address);
    for (const lose of link?.lose ?? []) lose(new ConnectionLoss('Lost.', false, link?.process.identity.id));
  }

  private holdLink(address: string): void {
    const link = this.links.get(address);
    if (!link) return;
    link.heldFrames ??= [];
    this.network.clock.after(WORK_MS, () => link.heldFrames?.splice(0).forEach(deliver => deliver()));
    this.network.clock.after(WORK_MS / 2, () => this.links.get(address) === link && this.breakLink(address));
  }

  private releaseFrames(address: string): void {
    this.links
      .get(address)
      ?.heldFrames?.splice(0)
      .forEach(deliver => deliver());
  }

  private async pass(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 10) {
      await this.network.advance(10);
      for (const member of this.sender.table.all())
        if (member.address !== SENDER) this.directory.update(member);
    }
  }

  private async send(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const id = `r${String(++this.requests)}`;
      const context = {
        ...CALL_CONTEXT,
        requestId: id,
        remainingMs: REMAINING_MS,
        retryTokens: 2,
        idempotent: false,
      };
      const head = { ...REQUEST_HEAD, context };
      void this.forwarder
        .forward(ROUTE, head, context, new ReplayableBody(EMPTY_BODY), NEVER_CANCELLED)
        .then(({ first }) => this.outcomes.set(id, first.refusal?.outcome ?? 'answered'));
    }
    await this.pass(10);
  }

  private exchange(address: string, head: RequestHead): Promise<CallResponse> {
    const process = this.processes.get(address);
    if (!process) return Promise.reject(new ConnectionLoss('Refused.', true));
    const link = this.links.get(address) ?? { process, lose: new Set(), heldFrames: undefined };
    this.links.set(address, link);
    return new Promise((resolve, reject) => {
      link.lose.add(reject);
      const deliver = () => void this.run(link.process, head).then(resolve, () => undefined);
      if (link.heldFrames) link.heldFrames.push(deliver);
      else this.network.clock.after(LINK_DELAY_MS, deliver);
    });
  }

  /** What a process does with an attempt that arrives; one that was killed does nothing more, but what it began runs at the upstream. */
  private async run(process: Process, { context }: RequestHead): Promise<CallResponse> {
    const { requestId, try: attempt } = context!;
    if (!process.isAlive) return new Promise(() => undefined);
    const refusal = process.attempts.register(requestId, attempt);
    if (refusal) return singlePartResponse(refusalPart(refusal, 0));
    process.attempts.markDispatched(requestId);
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    await this.network.clock.sleep(WORK_MS);
    const response = { head: { status: 200, headers: '', unframed: false }, body: EMPTY_BODY };
    process.attempts.markEnded(requestId, response);
    return singlePartResponse(replay(response));
  }

  private async seal(address: string, request: SealRequest): Promise<SealAnswer> {
    await this.network.clock.sleep(LINK_DELAY_MS);
    const process = this.processes.get(address);
    if (!process) throw new ConnectionLoss('Refused.', true);
    return process.dispatcher.seal(request);
  }
}

const AHEAD_MS = 600_000;

/** A process with the epoch of the one before it is asked to seal the attempts of that one. */
const SAME_EPOCH: readonly Step[] = [
  { kind: 'start', daemon: 0, clockAheadMs: AHEAD_MS },
  { kind: 'start', daemon: 1, clockAheadMs: 0 },
  { kind: 'pass', ms: 2000 },
  { kind: 'cut', daemon: 1 },
  { kind: 'start', daemon: 0, clockAheadMs: 0 },
  { kind: 'pass', ms: 1000 },
  { kind: 'send', count: 10 },
  { kind: 'cut', daemon: DAEMONS.length },
  { kind: 'heal', daemon: 1 },
  { kind: 'start', daemon: 0, clockAheadMs: 0 },
  { kind: 'pass', ms: 1000 },
];

const anyDaemon = fc.nat({ max: DAEMONS.length - 1 });
const anyMember = fc.nat({ max: DAEMONS.length });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('send' as const), count: fc.integer({ min: 1, max: 5 }) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('start' as const),
      daemon: anyDaemon,
      clockAheadMs: fc.constantFrom(0, 0, AHEAD_MS, -AHEAD_MS, 3000, -3000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill' as const, 'breakLink' as const, 'holdLink' as const),
      daemon: anyDaemon,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'heal' as const), daemon: anyMember }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant('pass' as const), ms: fc.constantFrom(10, 100, 300, 1000) }),
  },
);
const START: readonly Step[] = DAEMONS.map((_, daemon) => ({ kind: 'start', daemon, clockAheadMs: 0 }));
const SCHEDULES = Number(process.env.CLEATQUAY_SCHEDULES ?? 60);

describe('lost attempts while daemons restart, clocks jump and members are cut off', () => {
  const violationsOf = async (steps: readonly Step[], seed: string) => {
    await using simulation = new SealSimulation(seed);
    await simulation.play(steps);
    return simulation.violations;
  };

  // Guards against a process that seals the attempts of the one before it, whose epoch it has.
  it('are not sealed by the next process with the same epoch', async () => {
    expect(await violationsOf(SAME_EPOCH, 'same epoch')).to.deep.equal([]);
  });

  /** Any schedule, or the one above with other steps between its own. */
  const anySchedule = fc.oneof(
    fc.array(anyStep, { minLength: 5, maxLength: 25 }).map(steps => [...START, ...steps]),
    fc
      .array(fc.option(anyStep), { minLength: SAME_EPOCH.length, maxLength: SAME_EPOCH.length })
      .map(others => SAME_EPOCH.flatMap((step, i) => [step, others[i] ?? []].flat())),
  );

  it('run at most once, and are never reported as not run if they ran, in any schedule', async function () {
    this.timeout(300_000);
    await fc.assert(
      fc.asyncProperty(anySchedule, fc.string(), async (steps, seed) => {
        expect(await violationsOf(steps, seed)).to.deep.equal([]);
      }),
      { numRuns: SCHEDULES },
    );
  });
});

/**
 * Guards against changes that are late since every daemon lost the store at the same moment: all paused in step, so that nobody read it for
 * seconds after it was back, and those that then heard of a version waited before they fetched it
 * (docs/incidents/first-seconds-after-the-store-returns.md). `CLEATQUAY_SEED` selects other histories, `CLEATQUAY_ROUNDS` their number.
 */
import { expect } from 'chai';
import { configurationText, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';
import { type Conditions, SimulatedConfigurationFleet } from './fixtures/simulatedConfigurationFleet.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 25);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const TIMEOUT_PER_ROUND_MS = 3000;

/** A change has to be active within this time after it was accepted. */
const MAX_CHANGE_MS = 2000;
/** A call that began while the store was silent ends at most this long after it is back: the timeout of a read. */
const STORE_TIMEOUT_MS = 1500;
const SETTLE_MS = 9000;
const MIN_OUTAGE_MS = 3000;
const MAX_OUTAGE_MS = 9000;
const RESTART_DELAY_MS = 535;
const RESTARTED_RATIO = 0.6;
const VERSIONS = 5;
const VERSION_GAP_MS = 60;
const OBSERVED_MS = 9000;

const DAEMONS = [
  ...[13, 14, 15, 16, 17, 18].map(n => [`10.1.0.${String(n)}`, 'a'] as const),
  ...[41, 42, 43, 44, 45].map(n => [`10.2.0.${String(n)}`, 'b'] as const),
  ...[15, 16, 17, 18].map(n => [`10.3.0.${String(n)}`, 'c'] as const),
].map(([ip, failureDomain]) => ({ address: `${ip}:7600`, failureDomain }));

const isInDomainB = (address: string) => address.startsWith('10.2.');

/** One history: what the store does while it is away, and whether one failure domain is partitioned from the others as it returns. */
interface History {
  readonly outage: 'rejects' | 'is-silent';
  readonly isPartitioned: boolean;
  readonly restartedRatio: number;
  /** How long after the store's return the first version is accepted at least, ms. */
  readonly minDelayMs: number;
  /** Rounds beyond the usual ones that were late once: a reader's wait outlasted the outage, and the others left the store to it. */
  readonly lateRounds: readonly number[];
}

const HISTORIES: Record<string, History> = {
  'although all lost it at once': {
    outage: 'rejects',
    isPartitioned: false,
    restartedRatio: 0,
    minDelayMs: 0,
    lateRounds: [],
  },
  'although most daemons were restarted while it was away': {
    outage: 'rejects',
    isPartitioned: false,
    restartedRatio: RESTARTED_RATIO,
    minDelayMs: 0,
    lateRounds: [],
  },
  'although all daemons were restarted while it was away': {
    outage: 'rejects',
    isPartitioned: false,
    restartedRatio: 1,
    minDelayMs: 0,
    lateRounds: [],
  },
  'in a failure domain that is partitioned from the others': {
    outage: 'rejects',
    isPartitioned: true,
    restartedRatio: RESTARTED_RATIO,
    minDelayMs: 0,
    lateRounds: [],
  },
  'although calls that got no response still wait': {
    outage: 'is-silent',
    isPartitioned: false,
    restartedRatio: RESTARTED_RATIO,
    minDelayMs: STORE_TIMEOUT_MS,
    lateRounds: [],
  },
  'in a partitioned failure domain, although calls that got no response still wait': {
    outage: 'is-silent',
    isPartitioned: true,
    restartedRatio: RESTARTED_RATIO,
    minDelayMs: STORE_TIMEOUT_MS,
    lateRounds: [90, 131, 184, 189],
  },
};

/** Lets all daemons lose the store and restarts some; gives the longest time from a version to its adoption by the last daemon, ms. */
async function longestDelay(seed: string, history: History): Promise<number> {
  await using fleet = new SimulatedConfigurationFleet(seed);
  const { random, conditions } = fleet;
  for (const { address, failureDomain } of DAEMONS) fleet.start(address, failureDomain);
  await fleet.advance(SETTLE_MS);
  conditions.platformFor = () => history.outage;
  const outageMs = MIN_OUTAGE_MS + random() * (MAX_OUTAGE_MS - MIN_OUTAGE_MS);
  await fleet.advance(outageMs / 2);
  const restarted = DAEMONS.filter(() => random() < history.restartedRatio);
  for (const { address } of restarted) fleet.kill(address);
  await fleet.advance(RESTART_DELAY_MS);
  for (const { address, failureDomain } of restarted) fleet.start(address, failureDomain);
  await fleet.advance(outageMs / 2);
  conditions.platformFor = () => 'serves';
  const partition: Conditions['isPartitioned'] = (from, to) => isInDomainB(from) !== isInDomainB(to);
  if (history.isPartitioned) conditions.isPartitioned = partition;
  await fleet.advance(history.minDelayMs + random() * MAX_CHANGE_MS);

  const writtenAt = new Map<number, number>();
  let longestMs = 0;
  const measure = () => {
    for (const [generation, time] of writtenAt)
      if (!fleet.hasEverywhere(generation)) longestMs = Math.max(longestMs, fleet.clock.now() - time);
  };
  for (let version = 0; version < VERSIONS; version++) {
    writtenAt.set(fleet.write(), fleet.clock.now());
    await fleet.advance(VERSION_GAP_MS, measure);
  }
  await fleet.advance(OBSERVED_MS, measure);
  return longestMs;
}

describe('a change of the configuration as the store returns', () => {
  for (const [condition, history] of Object.entries(HISTORIES)) {
    it(`is active in time ${condition}`, async function () {
      this.timeout((ROUNDS + history.lateRounds.length) * TIMEOUT_PER_ROUND_MS);
      for (const round of [...Array.from({ length: ROUNDS }, (_, i) => i + 1), ...history.lateRounds]) {
        const seed = `${SEED} ${String(round)} ${condition}`;
        expect(await longestDelay(seed, history), `seed ${seed}`).to.be.at.most(MAX_CHANGE_MS);
      }
    });
  }

  describe('on daemons as processes', () => {
    /** All in one failure domain: nobody else can read the store for them. */
    const VMS: ProcessVm[] = Array.from({ length: 6 }, () => ({ service: 'history', failureDomain: 'z1' }));
    const ROUTES = [routeTo('history')];
    /** The store returns at different moments of the daemons' pauses. */
    const OUTAGES_MS = [3000, 4200, 5400, 6600];
    const PROCESSES_TIMEOUT_MS = 120_000;
    let fleet: ProcessFleet;

    before(() => ProcessFleet.build());

    beforeEach(async () => {
      fleet = await ProcessFleet.start(VMS, ROUTES);
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

    it('is active in time although all lost it at once', async function () {
      this.timeout(PROCESSES_TIMEOUT_MS);
      let version = 1;
      for (const outageMs of OUTAGES_MS) {
        for (const { proxy } of fleet.nodes) proxy.reset();
        await sleep(outageMs);
        for (const { proxy } of fleet.nodes) proxy.mode = 'pass';
        for (let i = 0; i < VERSIONS; i++) {
          fleet.store.put('op', 'config', configurationText(++version, ROUTES));
          await sleep(VERSION_GAP_MS);
        }
        const acceptedAt = performance.now();
        await fleet.until(
          node => node.status(),
          status => status?.generation === version,
        );
        const tookMs = performance.now() - acceptedAt;
        expect(tookMs, `after an outage of ${String(outageMs)} ms`).to.be.at.most(MAX_CHANGE_MS);
      }
    });
  });
});

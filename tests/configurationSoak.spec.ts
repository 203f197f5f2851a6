/**
 * Daemons as processes, while the operator writes versions in bursts and random faults hit several daemons at once: suspension, a kill and
 * restart, rejection by the store, or unresponsive connections. `CLEATQUAY_SEED` selects another sequence, `CLEATQUAY_ROUNDS` its length.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { digestOf } from '@cleatquay/configuration';
import { decodeConfiguration } from '@cleatquay/platform';
import { expect } from 'chai';
import { FAULTS } from './fixtures/processFaults.js';
import { type RouteDefinition, configurationText, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessStatus, type ProcessVm } from './fixtures/platformProcesses.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 15);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
/** A round takes about a second, and at most 3 s more until the written version is active. */
const ROUND_TIMEOUT_MS = 10_000;
/** Within 3 s after the end of a fault a daemon has to have the newest version. */
const MAX_RECOVERY_MS = 3000;
const MAX_WRITES = 4;
const MAX_GAP_MS = 400;
const MAX_FAULTS = 3;

const DOMAINS = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'];
const VMS: ProcessVm[] = DOMAINS.map((failureDomain, i) => ({
  service: i % 2 === 0 ? 'history' : 'alarms',
  failureDomain,
}));
const HOSTS = ['a', 'b', 'c'].map(name => `${name}.example`);

describe('configurations during faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let version: number;
  /** Digest of the content of each written version. */
  let written: Map<number, string>;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`configurations ${SEED}`);
    version = 1;
    written = new Map();
    fleet = await ProcessFleet.start(VMS, [routeTo('history'), routeTo('alarms')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const randomBelow = (count: number) => Math.floor(random() * count);
  const pickOne = <T>(list: readonly T[]): T => list[randomBelow(list.length)]!;
  const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  const write = () => {
    const routes = HOSTS.flatMap((host): RouteDefinition[] =>
      random() < 0.3 ? [] : [routeTo(pickOne(['history', 'alarms']), { name: host, host })],
    );
    const text = configurationText(++version, [routeTo('history'), routeTo('alarms'), ...routes]);
    written.set(version, digestOf(decodeConfiguration(text).sections));
    fleet.store.put('op', 'config', text);
  };

  /** Whether a daemon has the newest version; its content must be that of its generation at any time. */
  const hasNewest = (status: ProcessStatus | undefined) => {
    const digest = status && written.get(status.generation);
    if (digest !== undefined) expect(status?.digest, `of ${String(status?.generation)}`).to.equal(digest);
    return status?.generation === version;
  };

  const round = async (): Promise<string> => {
    const injected = Array.from({ length: 1 + randomBelow(MAX_FAULTS) }, () => ({
      name: pickOne(Object.keys(FAULTS)),
      node: randomBelow(VMS.length),
    })).filter(({ node }, i, all) => all.findIndex(other => other.node === node) === i);
    const faultEnders = injected.map(({ name, node }) => FAULTS[name]!(fleet.nodes[node]!));
    for (let left = 1 + randomBelow(MAX_WRITES); left > 0; left--) {
      await delay(randomBelow(MAX_GAP_MS));
      write();
    }
    await delay(randomBelow(MAX_GAP_MS));
    await Promise.all(faultEnders.map(endFault => endFault()));
    return injected.map(({ name, node }) => `${String(node)} ${name}`).join(', ');
  };

  it('have the content of their generation at every daemon, and are active in time', async function () {
    this.timeout(ROUNDS * ROUND_TIMEOUT_MS);
    for (let done = 1; done <= ROUNDS; done++) {
      const faults = await round();
      const start = performance.now();
      await fleet.until(node => node.status(), hasNewest);
      const tookMs = performance.now() - start;
      expect(tookMs, `round ${String(done)} of seed ${SEED}: ${faults}`).to.be.below(MAX_RECOVERY_MS);
    }
  });
});

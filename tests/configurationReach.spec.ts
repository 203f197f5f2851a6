/**
 * Guards against daemons that handle requests by an old configuration although they can read the platform: nobody told them of a change, or
 * they could not fetch it. `CLEATQUAY_SEED` selects other histories, `CLEATQUAY_ROUNDS` their number for each condition.
 */
import { expect } from 'chai';
import { type Conditions, SimulatedConfigurationFleet } from './fixtures/simulatedConfigurationFleet.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 60);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const TIMEOUT_PER_ROUND_MS = 2000;

/** A change has to be active within this time. */
const MAX_CHANGE_MS = 2000;
/** Time until all daemons know each other and long polls have their usual phases. */
const SETTLE_MS = 9000;
/** A condition begins at most this long before a daemon is killed. */
const MAX_CONDITION_AGE_MS = 4000;
/** Time from the kill of a daemon to its next start. */
const RESTART_DELAY_MS = 535;
const SECOND_CHANGE_DELAY_MS = 225;
/** Long enough to see how late a change is. */
const OBSERVED_MS = 5000;

const DAEMONS = [
  ...['10.1.0.9', '10.1.0.10', '10.1.0.11', '10.1.0.12', '10.1.0.13'].map(ip => [ip, 'a'] as const),
  ...['10.2.0.20', '10.2.0.21', '10.2.0.22', '10.2.0.23', '10.2.0.24'].map(ip => [ip, 'b'] as const),
  ...['10.3.0.11', '10.3.0.12', '10.3.0.13', '10.3.0.14'].map(ip => [ip, 'c'] as const),
].map(([ip, failureDomain]) => ({ address: `${ip}:7600`, failureDomain }));

/** Separates the daemons of `group` from all others, but not from each other or the platform. */
const partitionOf =
  (group: (address: string) => boolean): Conditions['isPartitioned'] =>
  (from, to) =>
    group(from) !== group(to);

const PAIR = ['10.2.0.20:7600', '10.2.0.21:7600'];

/** What may go wrong between daemons while each can read the platform. */
const CONDITIONS: Record<string, (fleet: SimulatedConfigurationFleet) => Partial<Conditions>> = {
  'while nothing else is wrong': () => ({}),
  'while a tenth of the datagrams are lost': ({ random }) => ({ isDatagramLost: () => random() < 0.1 }),
  'while its failure domain is partitioned from the others': () => ({
    isPartitioned: partitionOf(address => address.startsWith('10.2.')),
  }),
  'while it is partitioned from all other daemons': () => ({
    isPartitioned: partitionOf(address => address === PAIR[0]),
  }),
  'while it and another daemon without the change are partitioned from the others': () => ({
    isPartitioned: partitionOf(address => PAIR.includes(address)),
  }),
  'while daemons announce it and no fetch is answered': () => ({ isFetchLost: () => true }),
};

/** Kills and restarts a daemon, writes two versions as it returns, and gives the longest time until all daemons had one of them, ms. */
async function longestDelay(
  seed: string,
  conditionsOf: (fleet: SimulatedConfigurationFleet) => Partial<Conditions>,
): Promise<number> {
  await using fleet = new SimulatedConfigurationFleet(seed);
  for (const { address, failureDomain } of DAEMONS) fleet.start(address, failureDomain);
  await fleet.advance(SETTLE_MS);
  Object.assign(fleet.conditions, conditionsOf(fleet));
  await fleet.advance(fleet.random() * MAX_CONDITION_AGE_MS);
  const restarted = DAEMONS[Math.floor(fleet.random() * DAEMONS.length)]!;
  fleet.kill(restarted.address);
  await fleet.advance(RESTART_DELAY_MS);
  fleet.start(restarted.address, restarted.failureDomain);

  const writtenAt = new Map<number, number>();
  let longestMs = 0;
  const measure = () => {
    for (const [generation, time] of writtenAt)
      if (!fleet.hasEverywhere(generation)) longestMs = Math.max(longestMs, fleet.clock.now() - time);
  };
  writtenAt.set(fleet.write(), fleet.clock.now());
  await fleet.advance(SECOND_CHANGE_DELAY_MS, measure);
  writtenAt.set(fleet.write(), fleet.clock.now());
  await fleet.advance(OBSERVED_MS, measure);
  return longestMs;
}

describe('a change of the configuration, at daemons that can read the platform', () => {
  for (const [condition, conditionsOf] of Object.entries(CONDITIONS)) {
    it(`is active in time ${condition}`, async function () {
      this.timeout(ROUNDS * TIMEOUT_PER_ROUND_MS);
      for (let round = 1; round <= ROUNDS; round++) {
        const seed = `${SEED} ${String(round)} ${condition}`;
        expect(await longestDelay(seed, conditionsOf), `seed ${seed}`).to.be.at.most(MAX_CHANGE_MS);
      }
    });
  }
});

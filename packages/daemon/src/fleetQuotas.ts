/** The quotas of a daemon among the members that it knows. */
import { type Clock, ForwardTime, type Random } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { Quotas } from '@cleatquay/organisations';
import { type RelaySettings } from './relaySettings.js';

/** A daemon that was found gone may be cut off only, and go on with its share of quotas, for so long, ms. */
const CUT_OFF_MS = 60_000;

/** What the quotas of a daemon are made from. */
export interface FleetQuotasParts {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  /** Whether it has read from the platform which daemons there are: before it has, it can't tell how large its share is. */
  readonly knowsFleet: () => boolean;
}

/** Quotas that travel in datagrams of membership. */
export function fleetQuotas({ settings, clock, random, membership, knowsFleet }: FleetQuotasParts): Quotas {
  const forward = new ForwardTime(clock);
  const { failureDomain } = settings;
  return new Quotas({
    clock,
    random,
    now: () => forward.now(),
    epoch: () => membership.me.epoch,
    division: settings.quotas,
    self: membership.me.gossipAddress,
    failureDomain,
    members: () => [...membership.table.all()].filter(({ state }) => state === 'ALIVE'),
    sharers: () => (knowsFleet() ? membership.countLately(failureDomain, CUT_OFF_MS) : undefined),
    ask: (to, question) => membership.askForQuota(to, question),
    answer: (to, answer) => membership.answerForQuota(to, answer),
  });
}

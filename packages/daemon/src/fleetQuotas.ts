/** The quotas of a daemon among the members that it knows. */
import { type Clock, ForwardTime, type Random } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type QuotaDivision, Quotas } from '@cleatquay/organisations';

/** A daemon that was found gone may be cut off only, and go on with its share of quotas, for so long, ms. */
const CUT_OFF_MS = 60_000;

/** What the quotas of a daemon are made from. */
export interface FleetQuotasParts {
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  /** Whether it has read from the platform which daemons there are: before it has, it can't tell how large its share is. */
  readonly knowsFleet: () => boolean;
}

/** Quotas that travel in datagrams of membership. */
export function fleetQuotas(parts: FleetQuotasParts): Quotas {
  const { failureDomain, division, clock, random, membership, knowsFleet } = parts;
  const forward = new ForwardTime(clock);
  return new Quotas({
    clock,
    random,
    now: () => forward.now(),
    epoch: () => membership.me.epoch,
    division,
    self: membership.me.gossipAddress,
    failureDomain,
    members: () => [...membership.table.all()].filter(({ state }) => state === 'ALIVE'),
    sharers: () => (knowsFleet() ? membership.countLately(failureDomain, CUT_OFF_MS) : undefined),
    ask: (to, question) => membership.askForQuota(to, question),
    answer: (to, answer) => membership.answerForQuota(to, answer),
  });
}

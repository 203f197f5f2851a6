/** Connects the quotas of a daemon to its membership. */
import { type Clock, ElapsedTime, type Random } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type QuotaDivision, Quotas, type ShareReport } from '@cleatquay/organisations';

/**
 * A daemon that was declared dead still counts for this long, ms: it may only be partitioned, and go on using its share
 * of the quotas.
 */
const PARTITION_GRACE_MS = 60_000;

/** Dependencies of the quotas of a daemon. */
export interface FleetQuotasOptions {
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  /** Whether this daemon has a view of the fleet. Before that it can't compute its share. */
  readonly hasFleetView: () => boolean;
  readonly onShares?: (report: ShareReport) => void;
}

/** Creates quotas that exchange their messages in membership datagrams. */
export function createFleetQuotas(options: FleetQuotasOptions): Quotas {
  const { failureDomain, division, clock, random, membership, hasFleetView, onShares } = options;
  const elapsedTime = new ElapsedTime(clock);
  return new Quotas({
    clock,
    random,
    now: () => elapsedTime.now(),
    division,
    self: membership.me.gossipAddress,
    failureDomain,
    members: () => [...membership.table.all()].filter(({ state }) => state === 'ALIVE'),
    shareCount: () =>
      hasFleetView() ? membership.countRecentlyUp(failureDomain, PARTITION_GRACE_MS) : undefined,
    onShares: report => onShares?.(report),
    sendRequest: (to, request) => membership.sendQuotaRequest(to, request),
    sendResponse: (to, response) => membership.sendQuotaResponse(to, response),
  });
}

/** Connects the quotas of a daemon to its membership. */
import { type Clock, ElapsedTime, type Random } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type QuotaDivision, Quotas, type ShareReport } from '@cleatquay/organisations';

/** Dependencies of the quotas of a daemon. */
export interface FleetQuotasOptions {
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  /** Number of daemons among which the quotas of the failure domain are divided; undefined while unknown. */
  readonly shareCount: () => number | undefined;
  readonly onShares?: (report: ShareReport) => void;
}

/** Creates quotas that exchange their messages in membership datagrams. */
export function createFleetQuotas(options: FleetQuotasOptions): Quotas {
  const { failureDomain, division, clock, random, membership, shareCount, onShares } = options;
  const elapsedTime = new ElapsedTime(clock);
  return new Quotas({
    clock,
    random,
    now: () => elapsedTime.now(),
    division,
    self: membership.me.gossipAddress,
    failureDomain,
    members: () => [...membership.table.all()].filter(({ state }) => state === 'ALIVE'),
    shareCount,
    onShares: report => onShares?.(report),
    sendRequest: (to, request) => membership.sendQuotaRequest(to, request),
    sendResponse: (to, response) => membership.sendQuotaResponse(to, response),
  });
}

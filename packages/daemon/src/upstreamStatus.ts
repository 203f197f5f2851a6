/** What is reported of a local upstream to operators. */
import { type Admission } from '@cleatquay/admission';
import { type LatestUpstreamLoad } from '@cleatquay/calls';
import { type Load, type ReportedLoad } from '@cleatquay/protocol';
import { type Announcement } from './announcement.js';

/** Details of an upstream for metrics, `cleatquay status` and dumps. */
export interface UpstreamStatus {
  readonly service: string;
  readonly address: string;
  readonly draining: boolean;
  readonly load: Load;
  /** Reported limit, requests a second; undefined if there is none. */
  readonly rateLimit: number | undefined;
  /** Its load by its own latest report; undefined if it reports none. */
  readonly reported: ReportedLoad | undefined;
  /** Requests at the upstream that this daemon did not send. */
  readonly unknownRuns: number;
  readonly reports: { readonly reports: number; readonly invalid: number };
  readonly counts: Record<string, number>;
}

/** The parts of a registered upstream that are described. */
interface DescribedUpstream {
  readonly announcement: Announcement;
  readonly admission: Admission;
  readonly isDraining: boolean;
  readonly load: LatestUpstreamLoad;
}

export function upstreamStatus({
  announcement,
  admission,
  isDraining,
  load,
}: DescribedUpstream): UpstreamStatus {
  return {
    service: announcement.service,
    address: announcement.address,
    draining: isDraining,
    rateLimit: admission.rate.perSecond,
    load: admission.load(),
    reported: load.message(),
    unknownRuns: Math.round(admission.unknownRuns.count),
    reports: { ...load.counts },
    counts: { ...admission.counts },
  };
}

/** The latest load that the local upstream has reported, with its age. */
import { type Clock } from '@cleatquay/clock';
import { type ReportedLoad } from '@cleatquay/protocol';
import { type IncomingHttpHeaders } from 'node:http';
import { type UpstreamDialect } from './upstreamDialect.js';
import { type UpstreamLoad } from './upstreamLoad.js';

/** An upstream whose latest report is older no longer counts as reporting: its load is unknown. */
const MAX_AGE_MS = 10_000;

/** A reported load and the time since it was received, ms. */
export interface AgedUpstreamLoad {
  readonly load: UpstreamLoad;
  readonly ageMs: number;
}

/** Keeps the reports of one process start of an upstream. */
export class LatestUpstreamLoad {
  /** Reports received, and those among them that were invalid. */
  readonly counts = { reports: 0, invalid: 0 };
  private load: UpstreamLoad | undefined;
  private receivedAt = 0;

  /** `onRecord` is called with each valid report. */
  constructor(
    private readonly clock: Clock,
    private readonly onRecord: (load: UpstreamLoad) => void = () => undefined,
  ) {}

  /** Records the report in the headers of a response, if there is one. */
  recordHeaders(dialect: Pick<UpstreamDialect, 'loadOf' | 'loadHeader'>, headers: IncomingHttpHeaders): void {
    if (headers[dialect.loadHeader] === undefined) return;
    const load = dialect.loadOf(headers);
    if (load) return this.record(load);
    this.counts.reports++;
    this.counts.invalid++;
  }

  /** Records a valid report. */
  record(load: UpstreamLoad): void {
    this.counts.reports++;
    this.load = load;
    this.receivedAt = this.clock.now();
    this.onRecord(load);
  }

  /** The latest report; undefined if there is none, or only one that is too old to say anything. */
  latest(): AgedUpstreamLoad | undefined {
    const ageMs = this.clock.now() - this.receivedAt;
    return this.load && ageMs <= MAX_AGE_MS ? { load: this.load, ageMs } : undefined;
  }

  /** The latest report as it is sent to other daemons. */
  message(): ReportedLoad | undefined {
    const latest = this.latest();
    if (!latest) return undefined;
    const { running, waiting, slots, workTimePercent } = latest.load;
    return {
      running,
      waiting,
      slots,
      workTimePercent: workTimePercent ?? 0,
      ageMs: Math.round(latest.ageMs),
    };
  }
}

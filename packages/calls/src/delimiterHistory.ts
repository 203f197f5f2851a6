/**
 * Whether a response that only the end of its connection delimits may be a part of one. By HTTP, an ordinary end of the connection completes it, but
 * an upstream that otherwise marks the end of its responses may as well have broken it off.
 */
import { type ResponseDelimiter } from './responseDelimiter.js';

/**
 * So many in a row on a route, and no other kind, show that the upstream means to respond so there. A process that has sent another kind on the route
 * shows no such thing: it may break off all of its responses for a time.
 */
const CONSECUTIVE_TO_TRUST = 32;
/** Routes come from other daemons; beyond this number the oldest is evicted. */
const MAX_ROUTES = 4096;
const MIN_ERROR_STATUS = 400;

/** A process of an upstream. */
interface ProcessOfService {
  readonly service: string;
  /** Identifies the process. */
  readonly start: string;
}

/** How the responses of a service were delimited. It outlasts the process of an upstream, since the next one is usually alike. */
export class DelimiterHistory {
  /** Services of which some response that was no error had a length or chunks, at an earlier process of this daemon, too. */
  private readonly observed = new Set<string>();
  /** The same at other daemons. */
  private readonly reported = new Set<string>();
  /** Close-delimited responses since the last other one, by service and route. */
  private readonly consecutive = new Map<string, number>();
  /** The start of the process that last sent another one, by service and route. */
  private readonly delimitingStarts = new Map<string, string>();

  /** `onObserved` is called at the first such response of a service to this daemon. */
  constructor(private readonly onObserved: (service: string) => void = () => undefined) {}

  /** Services of which this daemon has received a response with a length or chunks. */
  get delimitingServices(): readonly string[] {
    return [...this.observed];
  }

  /** Adds what an earlier process of this daemon has recorded. */
  restore(services: readonly string[]): void {
    for (const service of services) this.observed.add(service);
  }

  /** Replaces what other daemons have reported. */
  setReported(services: Iterable<string>): void {
    this.reported.clear();
    for (const service of services) this.reported.add(service);
  }

  /**
   * Records a response of a process, and returns whether it may be a part of one. Other code of an upstream often makes its errors: they count apart, and
   * show nothing about other responses.
   */
  isSuspect(
    { service, start }: ProcessOfService,
    route: string,
    status: number,
    delimiter: ResponseDelimiter,
  ): boolean {
    if (delimiter === 'no-body') return false;
    const isError = status >= MIN_ERROR_STATUS;
    const key = `${service} ${route} ${isError ? 'errors' : 'responses'}`;
    if (delimiter !== 'close') {
      if (!isError) this.observe(service);
      this.consecutive.delete(key);
      record(this.delimitingStarts, key, start);
      return false;
    }
    const before = this.consecutive.get(key) ?? 0;
    record(this.consecutive, key, before + 1);
    const isTrusted = before >= CONSECUTIVE_TO_TRUST && this.delimitingStarts.get(key) !== start;
    const isDelimiting = this.observed.has(service) || this.reported.has(service);
    return isDelimiting && !isTrusted;
  }

  private observe(service: string): void {
    if (this.observed.has(service)) return;
    this.observed.add(service);
    this.onObserved(service);
  }
}

function record<Value>(values: Map<string, Value>, key: string, value: Value): void {
  values.set(key, value);
  const [oldest] = values.keys();
  if (values.size > MAX_ROUTES && oldest !== undefined) values.delete(oldest);
}

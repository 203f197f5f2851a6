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
/** Close-delimited routes that are kept for the next process of the daemon; beyond this number the oldest is evicted. */
export const MAX_CLOSE_DELIMITED_ROUTES = 256;
const MIN_ERROR_STATUS = 400;

/** A process of an upstream. */
interface ProcessOfService {
  readonly service: string;
  /** Identifies the process. */
  readonly start: string;
}

/** A route on which a service means to send close-delimited responses. */
export interface CloseDelimitedRoute {
  readonly service: string;
  readonly route: string;
}

/** What one daemon knows of how services delimit their responses, as it is kept for its next process. */
export interface DelimiterEvidence {
  /** Services of which some response that was no error had a length or chunks. */
  readonly delimitingServices: readonly string[];
  readonly closeDelimitedRoutes: readonly CloseDelimitedRoute[];
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
  /** Routes with enough close-delimited responses in a row at this daemon, by service and route. */
  private readonly closeDelimited = new Map<string, CloseDelimitedRoute>();

  /** `onEvidence` is called when the evidence of this daemon changes. */
  constructor(private readonly onEvidence: () => void = () => undefined) {}

  /** What this daemon has seen, and an earlier process of it. */
  get evidence(): DelimiterEvidence {
    return {
      delimitingServices: [...this.observed],
      closeDelimitedRoutes: [...this.closeDelimited.values()],
    };
  }

  /** Adds what an earlier process of this daemon has recorded. */
  restore({ delimitingServices, closeDelimitedRoutes }: DelimiterEvidence): void {
    for (const service of delimitingServices) this.observed.add(service);
    for (const entry of closeDelimitedRoutes) this.addCloseDelimited(entry);
  }

  /**
   * Replaces the services that other daemons have reported. Their close-delimited routes are not believed: an upstream may break off its responses
   * for a time, and each daemon sees another one.
   */
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
    const key = keyOf({ service, route }, isError ? ERRORS : RESPONSES);
    if (delimiter !== 'close') {
      if (!isError) this.observe(service, key);
      this.consecutive.delete(key);
      record(this.delimitingStarts, key, start);
      return false;
    }
    const before = this.consecutive.get(key) ?? 0;
    record(this.consecutive, key, before + 1);
    if (this.delimitingStarts.get(key) === start) return this.isDelimiting(service);
    const hasEnough = before >= CONSECUTIVE_TO_TRUST;
    if (hasEnough && !isError) this.observeCloseDelimited({ service, route }, key);
    return !hasEnough && !this.closeDelimited.has(key) && this.isDelimiting(service);
  }

  private isDelimiting(service: string): boolean {
    return this.observed.has(service) || this.reported.has(service);
  }

  private observe(service: string, key: string): void {
    const isNew = !this.observed.has(service);
    this.observed.add(service);
    const isContradicted = this.closeDelimited.delete(key);
    if (isNew || isContradicted) this.onEvidence();
  }

  private observeCloseDelimited(entry: CloseDelimitedRoute, key: string): void {
    if (!this.isDelimiting(entry.service) || this.closeDelimited.has(key)) return;
    this.addCloseDelimited(entry);
    this.onEvidence();
  }

  private addCloseDelimited(entry: CloseDelimitedRoute): void {
    this.closeDelimited.set(keyOf(entry, RESPONSES), entry);
    const [oldest] = this.closeDelimited.keys();
    if (this.closeDelimited.size > MAX_CLOSE_DELIMITED_ROUTES && oldest !== undefined)
      this.closeDelimited.delete(oldest);
  }
}

/** Other code of an upstream often makes its errors, so that they are counted apart. */
const RESPONSES = 'responses';
const ERRORS = 'errors';

function keyOf({ service, route }: CloseDelimitedRoute, kind: typeof RESPONSES | typeof ERRORS): string {
  return `${service} ${route} ${kind}`;
}

function record<Value>(values: Map<string, Value>, key: string, value: Value): void {
  values.set(key, value);
  const [oldest] = values.keys();
  if (values.size > MAX_ROUTES && oldest !== undefined) values.delete(oldest);
}

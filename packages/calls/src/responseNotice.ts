/** Parses what an upstream reports of itself in response headers: its rate limit, and that it is shutting down. */

/** The value of a header as node and undici represent it. */
export type HeaderValue = string | string[] | undefined;

/** What one response reports of the upstream that sent it. */
export interface ResponseNotice {
  /**
   * Requests per second that the upstream accepts from all daemons together. `none` if it reports no limit; `unclear` if
   * the header is not a valid rate, which changes nothing.
   */
  readonly rateLimit: number | 'none' | 'unclear';
  /** The upstream is shutting down and accepts no new requests. */
  readonly isLeaving: boolean;
}

/** The notice of a response without these headers, as most are. */
export const EMPTY_NOTICE: ResponseNotice = { rateLimit: 'none', isLeaving: false };

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/;
const LEAVING_VALUE = '1';

export function parseNotice(rateLimit: HeaderValue, leaving: HeaderValue): ResponseNotice {
  if (rateLimit === undefined && leaving === undefined) return EMPTY_NOTICE;
  return { rateLimit: parseRateLimit(rateLimit), isLeaving: headerValues(leaving).includes(LEAVING_VALUE) };
}

/** Whether a number is a valid rate; 0 is valid. */
export function isValidRate(number: number): boolean {
  return Number.isFinite(number) && number >= 0;
}

/** Of several limits, the lowest applies, since it satisfies all of them. */
function parseRateLimit(header: HeaderValue): ResponseNotice['rateLimit'] {
  if (header === undefined) return 'none';
  const rates = headerValues(header)
    .filter(text => DECIMAL.test(text))
    .map(Number)
    .filter(isValidRate);
  return rates.length === 0 ? 'unclear' : Math.min(...rates);
}

/** A repeated header may arrive as a single one with a comma-separated list. */
function headerValues(header: HeaderValue): string[] {
  return [header ?? []].flat().flatMap(value => value.split(',').map(part => part.trim()));
}

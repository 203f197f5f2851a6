/** What an upstream says of itself in the headers of its answers: how much it takes, and that it leaves. */

/** A header as node and undici give it. */
export type HeaderValue = string | string[] | undefined;

/** What one answer says of the upstream that gave it. */
export interface AnswerNotice {
  /**
   * Requests a second that the upstream takes from all daemons together. `none` if it names no limit; `unclear` if what
   * it names is no rate, which says nothing.
   */
  readonly rateLimit: number | 'none' | 'unclear';
  /** It takes no new work any more. */
  readonly isLeaving: boolean;
}

/** What most answers say. */
export const NOTHING_SAID: AnswerNotice = { rateLimit: 'none', isLeaving: false };

const DECIMAL = /^(?:\d+\.?\d*|\.\d+)$/;
const LEAVING_VALUE = '1';

/** Reads the two headers of an answer. */
export function answerNotice(rateLimit: HeaderValue, leaving: HeaderValue): AnswerNotice {
  if (rateLimit === undefined && leaving === undefined) return NOTHING_SAID;
  return { rateLimit: parseRateLimit(rateLimit), isLeaving: headerValues(leaving).includes(LEAVING_VALUE) };
}

/** Whether a number can be a rate; 0 is one. */
export function isRate(number: number): boolean {
  return Number.isFinite(number) && number >= 0;
}

/** Of several that are named at once the lowest, which keeps them all. */
function parseRateLimit(header: HeaderValue): AnswerNotice['rateLimit'] {
  if (header === undefined) return 'none';
  const rates = headerValues(header)
    .filter(text => DECIMAL.test(text))
    .map(Number)
    .filter(isRate);
  return rates.length === 0 ? 'unclear' : Math.min(...rates);
}

/** A header that was sent twice may come as one, with a comma between. */
function headerValues(header: HeaderValue): string[] {
  return [header ?? []].flat().flatMap(value => value.split(',').map(part => part.trim()));
}

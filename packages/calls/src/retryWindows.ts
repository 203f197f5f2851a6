/**
 * The windows that a retry counts in: the limit holds in any window, also in those that end after the retry. When chains of calls fail
 * at their first calls, or are refused where they enter, the service gets fewer requests than before, and later windows allow
 * fewer retries than the current one.
 */

/** Requests and retries in one bucket of the window. */
export interface WindowBucket {
  readonly index: number;
  readonly requests: number;
  /** Those of lower classes. */
  readonly lowerRequests: number;
  readonly otherRetries: number;
  readonly mayHaveRunRetries: number;
}

/** Retries in a window, and its limit. */
export interface WindowUse {
  readonly used: number;
  readonly allowed: number;
  /** Index of the first bucket of the window. */
  readonly from: number;
  /** Recent requests in a bucket. */
  readonly perBucket: number;
}

/**
 * The limit of a window refers to its own requests, to those of the window half a window before, or to those of the preceding window, whichever
 * are most: while chains of calls fail, a service gets a fraction of its usual requests, and needs most retries.
 */
const WINDOW_SHIFTS = [0, 0.5, 1];
/** Full buckets from which the rate of requests to come is estimated, besides the current one. */
const RATE_BUCKETS = 2;

/** Settings of the windows. */
export interface WindowSettings {
  readonly bucketsPerWindow: number;
  /** The current time in buckets; its integer part is the index of the current bucket. */
  readonly time: number;
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond that. */
  readonly extra: number;
  /** Ratio of the requests of lower classes that is expected to continue. */
  readonly lowerClasses: number;
}

/**
 * The window that leaves the fewest retries, of those that contain the current bucket. Requests are assumed to continue at their recent rate,
 * except for a part of lower classes.
 */
export function tightestWindow(buckets: readonly WindowBucket[], settings: WindowSettings): WindowUse {
  const { bucketsPerWindow, time, ratio, extra, lowerClasses } = settings;
  const current = Math.floor(time);
  const recent = buckets.filter(({ index }) => index >= current - RATE_BUCKETS);
  const ratePer = (value: (bucket: WindowBucket) => number) =>
    sumOf(recent, value) / (RATE_BUCKETS + time - current);
  const perBucket = ratePer(bucket => bucket.requests);
  const expectedPerBucket = perBucket - (1 - lowerClasses) * ratePer(bucket => bucket.lowerRequests);
  const requestsUntil = (end: number) =>
    sumOf(
      buckets.filter(({ index }) => index >= end - bucketsPerWindow && index <= end),
      bucket => bucket.requests,
    ) +
    Math.max(0, end - current) * expectedPerBucket;
  let tightest: WindowUse | undefined;
  for (let end = current; end <= current + bucketsPerWindow; end++) {
    const from = end - bucketsPerWindow;
    const requests = Math.max(...WINDOW_SHIFTS.map(shift => requestsUntil(end - shift * bucketsPerWindow)));
    const within = buckets.filter(({ index }) => index >= from);
    const used = sumOf(within, bucket => bucket.otherRetries + bucket.mayHaveRunRetries);
    const allowed = requests * ratio + extra;
    if (!tightest || allowed - used < tightest.allowed - tightest.used)
      tightest = { used, allowed, from, perBucket };
  }
  return tightest ?? { used: 0, allowed: extra, from: current, perBucket };
}

function sumOf(buckets: readonly WindowBucket[], value: (bucket: WindowBucket) => number): number {
  return buckets.reduce((sum, bucket) => sum + value(bucket), 0);
}

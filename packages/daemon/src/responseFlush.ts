/** The last step of a daemon that shuts down before it closes the connections of callers: what it has accepted gets its response. */
import { type Clock } from '@cleatquay/clock';
import { setImmediate as nextIteration } from 'node:timers/promises';

/** Time for responses that have been written to leave the process, ms. */
const MIN_FLUSH_MS = 100;
/** Upper bound of the time for requests that are read after that, ms; they are refused at once. */
const MAX_LATE_MS = 150;
const POLL_MS = 5;

/**
 * Waits for the last responses to be sent. A process that lacked processor time meanwhile has requests to read or to refuse after that: it first
 * reads what has arrived, and then waits, for a bounded time, until `hasOutstanding` is false.
 */
export async function flushResponses(clock: Clock, hasOutstanding: () => boolean): Promise<void> {
  await clock.sleep(MIN_FLUSH_MS);
  const deadline = clock.now() + MAX_LATE_MS;
  await nextIteration();
  while (hasOutstanding() && clock.now() < deadline) await clock.sleep(POLL_MS);
}

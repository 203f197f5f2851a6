/** The cancellation of runs at their time limit, or when their sender disconnects. */
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  type Clock,
  DEADLINE_PASSED,
  NO_LONGER_NEEDED,
} from '@cleatquay/clock';
import { type RunningCall } from './runningCalls.js';

/** A signal that aborts at the time limit, or when the signal of a sender does that it follows; its reason states which. */
export function cancellationOf(clock: Clock, timeLimitMs: number) {
  const controller = new Cancellation();
  const abortOnDisconnect = () => controller.abort(CALLER_DISCONNECTED);
  const followed: CancelSignal[] = [];
  const follow = (sender: CancelSignal) => {
    if (sender.aborted) abortOnDisconnect();
    sender.addEventListener('abort', abortOnDisconnect, { once: true });
    followed.push(sender);
  };
  const timer = clock.after(timeLimitMs, () => controller.abort(DEADLINE_PASSED));
  return {
    signal: controller.signal,
    follow,
    [Symbol.dispose]: () => {
      timer[Symbol.dispose]();
      for (const sender of followed) sender.removeEventListener('abort', abortOnDisconnect);
      controller.abort(NO_LONGER_NEEDED);
    },
  };
}

/**
 * Calls `cancel` when an idempotent run is cancelled, so that its calls are cancelled, too, even if its upstream does not notice. The
 * returned function stops that. A call may outlast a run that has ended: its upstream may respond before its last call ends.
 */
export function whenCancelled(run: RunningCall | undefined, cancel: () => void): () => void {
  if (!run?.route.idempotent) return () => undefined;
  const { signal } = run;
  const onAbort = () => {
    if (signal.reason !== NO_LONGER_NEEDED) cancel();
  };
  if (signal.aborted) onAbort();
  signal.addEventListener('abort', onAbort, { once: true });
  return () => signal.removeEventListener('abort', onAbort);
}

/** Gauges of the call chains of a daemon. Their number does not depend on the number of routes; the dump has the outlook of each route. */
import { type CallChains, type WasteCause } from '@cleatquay/calls';
import { type Metrics } from './metrics.js';

const CAUSES: readonly WasteCause[] = ['call-failed', 'timed-out', 'disconnected', 'failed'];

/** Adds the gauges of a daemon. */
export function addChainGauges(metrics: Metrics, { outlooks, admission, lossAdmission }: CallChains): void {
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_chain_${name}`, help, read);
  gauge('runs', 'Runs of the local upstream that make calls, since the start', () => outlooks.counts.runs);
  for (const cause of CAUSES)
    gauge(
      `runs_wasted_${cause.replace('-', '_')}`,
      `Those of them that were not complete: ${cause}`,
      () => outlooks.counts.wasted[cause],
    );
  gauge(
    'lowest_completion',
    'How likely all calls of a run succeed now, 0 to 1, for the route with the lowest',
    () => outlooks.lowestCompletion,
  );
  gauge(
    'requests_refused',
    'Root requests refused since their calls fail, since the start',
    () => admission.counts.refused,
  );
  gauge('routes_reduced', 'Routes of which requests are refused for that now', () => admission.reduced.size);
  gauge(
    'requests_refused_for_losses',
    'Root requests refused since those before them were lost, since the start',
    () => lossAdmission.counts.refused,
  );
  gauge(
    'routes_reduced_for_losses',
    'Routes of which requests are refused for that now',
    () => lossAdmission.reduced.size,
  );
}

/** Gauges of the quarantine of queries of death. */
import { type Quarantine } from '@cleatquay/quarantine';
import { type Metrics } from './metrics.js';

/** Adds the gauges of a daemon. */
export function addQuarantineGauges(metrics: Metrics, quarantine: Quarantine): void {
  metrics.gauge(
    'cleatquay_held_requests',
    'Requests that are held back since upstreams ended under them',
    () => quarantine.counts.held,
  );
  metrics.gauge(
    'cleatquay_suspected_requests',
    'Requests that ran where an upstream ended, and have not ended well since',
    () => quarantine.counts.suspects,
  );
  metrics.gauge(
    'cleatquay_upstream_ends',
    'Ends of upstreams of the last hour that requests ran under, in the whole fleet',
    () => quarantine.counts.ends,
  );
}

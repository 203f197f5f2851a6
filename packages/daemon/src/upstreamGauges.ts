/** Gauges of what the local upstreams report about themselves. */
import { type Metrics } from './metrics.js';
import { type Upstreams } from './upstreams.js';

/** Adds the gauges of a daemon. */
export function addUpstreamGauges(metrics: Metrics, upstreams: Upstreams): void {
  metrics.gauge(
    'cleatquay_upstream_rate_limit',
    'Requests a second that an upstream here says it takes; the lowest, -1 while none is named',
    () => upstreams.lowestRateLimit() ?? -1,
  );
  metrics.gauge(
    'cleatquay_upstream_answers_received',
    'Answers of the upstreams here since the start of the daemon',
    () => upstreams.counts.answers,
  );
  metrics.gauge(
    'cleatquay_upstream_answers_with_rate_limit',
    'Those among them that named a rate limit',
    () => upstreams.counts.withRateLimit,
  );
  const reported = () => upstreams.dump().flatMap(status => status.reported ?? []);
  metrics.gauge(
    'cleatquay_upstream_work_time_percent',
    'How long work takes at an upstream here by its own report, percent of the usual; the highest, -1 if none reports it',
    () => Math.max(-1, ...reported().map(({ workTimePercent }) => workTimePercent || -1)),
  );
  metrics.gauge(
    'cleatquay_upstream_report_age_ms',
    'Age of the latest load report of an upstream here; the highest, -1 if none reports its load',
    () => Math.max(-1, ...reported().map(({ ageMs }) => ageMs)),
  );
  metrics.gauge(
    'cleatquay_upstream_unknown_runs',
    'Requests at the upstreams here that this daemon did not send, estimated by their reports',
    () => upstreams.dump().reduce((sum, { unknownRuns }) => sum + unknownRuns, 0),
  );
  metrics.gauge(
    'cleatquay_upstream_invalid_reports',
    'Load reports of the upstreams here that were ignored since their figures make no sense',
    () => upstreams.dump().reduce((sum, { reports }) => sum + reports.invalid, 0),
  );
  metrics.gauge(
    'cleatquay_upstream_health_checks',
    'Health checks that asked an upstream here for its load since the start of the daemon',
    () => upstreams.counts.healthChecks,
  );
  metrics.gauge(
    'cleatquay_upstream_retired_connections',
    'Connections closed because the upstream did not have their request',
    () => upstreams.counts.retiredConnections,
  );
}

/** The memory for uploads of a daemon, its gauges and its log. */
import { UPLOAD_BUDGET_BYTES, UploadBudget } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';
import { type Logger } from 'pino';
import { type BufferCollector } from './bufferCollector.js';
import { type Metrics } from './metrics.js';

/** Interval of log lines; the number of refusals in between is counted. */
const LOG_INTERVAL_MS = 1000;

/** Creates the budget of a daemon, which logs refusals at most once a second. */
export function createUploadBudget(
  clock: Clock,
  log: Logger,
  collector: BufferCollector,
  maxBytes = UPLOAD_BUDGET_BYTES,
): UploadBudget {
  let loggedAt = Number.NEGATIVE_INFINITY;
  let refused = 0;
  const onRefusal = (facts: { uploads: number; bytes: number }) => {
    refused++;
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return;
    const { message } = new Failure('The memory for uploads is full.', { result: 'uploadMemoryFull' });
    log.warn({ part: 'uploads', ...facts, maxBytes, refused }, `Uploads: CQ2017 ${message}`);
    loggedAt = clock.now();
    refused = 0;
  };
  return new UploadBudget(maxBytes, onRefusal, collector.checkUploads);
}

/** Adds the gauges of a daemon. */
export function addUploadGauges(metrics: Metrics, budget: UploadBudget): void {
  metrics.gauge(
    'cleatquay_uploads',
    'Uploads in progress, here and to the upstream here',
    () => budget.uploads,
  );
  metrics.gauge(
    'cleatquay_upload_bytes',
    'Bytes that uploads in progress occupy at most',
    () => budget.bytes,
  );
  metrics.gauge(
    'cleatquay_uploads_refused',
    'Uploads refused for lack of memory since the start of the daemon',
    () => budget.counts.refused,
  );
  metrics.gauge(
    'cleatquay_uploads_broken_off',
    'Uploads whose body did not arrive whole at the daemon of the upstream since its start',
    () => budget.counts.brokenOff,
  );
}

/** Prometheus metrics of a daemon. */
import { resultByCode } from '@cleatquay/errors';
import { type Refusal } from '@cleatquay/protocol';
import { type DeliveryEnd } from './openResponses.js';
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** Sampling interval of node's event loop delay, ms; the default of 10 ms wakes an idle daemon 100 times a second. */
const EVENT_LOOP_PRECISION_MS = 1000;

/** Histogram of the default metrics, by kind of collection. */
const GC_METRIC = 'nodejs_gc_duration_seconds';

/** The registry of a daemon, with its request counter and latency histogram. */
export class Metrics {
  readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'cleatquay_requests_total',
    help: 'Requests of callers and calls of upstreams, by service and result',
    labelNames: ['service', 'result'],
    registers: [this.registry],
  });
  private readonly latency = new Histogram({
    name: 'cleatquay_request_seconds',
    help: 'Time from request to whole answer',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  private readonly cutResponses = new Counter({
    name: 'cleatquay_cut_responses_total',
    help: 'Responses that ended before their body was complete',
    registers: [this.registry],
  });

  private readonly deliveries = new Counter({
    name: 'cleatquay_delivered_responses_total',
    help: 'Responses of upstreams that were sent to callers, by what marks their end for the caller, and whether they were sent whole',
    labelNames: ['delimiter', 'whole'],
    registers: [this.registry],
  });
  private readonly deliveryCounters = new Map<string, Counter.Internal>();

  private readonly latencies = new Map<string, Histogram.Internal<'service'>>();
  private readonly counters = new Map<string, Counter.Internal>();

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS,
    });
  }

  /** Adds a gauge that is evaluated on each scrape. */
  gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: (): void => gauge.set(read()),
    });
  }

  /** Adds a gauge with one label that is evaluated on each scrape. */
  gaugeByLabel(name: string, help: string, label: string, read: () => ReadonlyMap<string, number>): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect: (): void => read().forEach((value, key) => gauge.set({ [label]: key }, value)),
    });
  }

  /** Time of garbage collection since the start of the process, ms, as collected with the default metrics. */
  async gcMs(): Promise<number> {
    const values = (await this.registry.getSingleMetric(GC_METRIC)?.get())?.values ?? [];
    const sums = values.filter(value => 'metricName' in value && value.metricName === `${GC_METRIC}_sum`);
    return sums.reduce((seconds, { value }) => seconds + value, 0) * 1000;
  }

  /** Counts a response that ended before its body was complete. */
  responseCut(): void {
    this.cutResponses.inc();
  }

  /** Counts a response of an upstream whose delivery to its caller has ended. */
  deliveryEnded({ delimiter, isWhole }: DeliveryEnd): void {
    const key = `${delimiter} ${String(isWhole)}`;
    let child = this.deliveryCounters.get(key);
    if (!child) this.deliveryCounters.set(key, (child = this.deliveries.labels(delimiter, String(isWhole))));
    child.inc();
  }

  /** Starts to measure a request; the returned function is to be called when it has ended. */
  requestStarted(): (service: string, refusal: Refusal | undefined) => void {
    const start = performance.now();
    return (service, refusal) => {
      const label = service === '' ? 'none' : service;
      const result = refusal ? resultByCode(refusal.code) : 'answered';
      this.latencyOf(label).observe((performance.now() - start) / 1000);
      this.counterOf(label, result).inc();
    };
  }

  /** Looking up a child by its labels costs more than counting; there are few children, so they are cached. */
  private latencyOf(service: string): Histogram.Internal<'service'> {
    let child = this.latencies.get(service);
    if (!child) this.latencies.set(service, (child = this.latency.labels(service)));
    return child;
  }

  private counterOf(service: string, result: string): Counter.Internal {
    const key = `${service} ${result}`;
    let child = this.counters.get(key);
    if (!child) this.counters.set(key, (child = this.requests.labels(service, result)));
    return child;
  }
}

/** Gauges of a daemon for unmodified callers, evaluated on each scrape; docs/operators/observe.md lists them. */
import { type Forwarder } from '@cleatquay/calls';
import { type Configuration } from '@cleatquay/configuration';
import { type Router } from '@cleatquay/routing';
import { type ConfigurationUpdater } from './configurationUpdater.js';
import { type HeapTotals } from './heapActivity.js';
import { type Metrics } from './metrics.js';
import { type Processor } from './processor.js';
import { type ResultUse } from './processorTime.js';

/** The components that the gauges read. */
export interface RelayGaugeSources {
  readonly processor: Pick<Processor, 'pressure' | 'time' | 'heap'>;
  readonly configuration: Configuration<unknown>;
  readonly updater: ConfigurationUpdater;
  readonly router: Pick<Router, 'crossedCalls'>;
  readonly forwarder: Pick<Forwarder, 'unsentCalls' | 'roomWaitCounts'>;
}

/** Adds the gauges. */
export function addRelayGauges(
  metrics: Metrics,
  { processor, configuration, updater, router, forwarder }: RelayGaugeSources,
): void {
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_${name}`, help, read);
  gauge('processor_lag_ms', 'How late the latest timer was', () => processor.pressure.lagMs);
  metrics.gaugeByLabel(
    'cleatquay_processor_ms',
    'Processor time by what it was spent on',
    'use',
    () => processor.time.byUse,
  );
  addWorkGauges(metrics, processor);
  gauge('configuration_generation', 'Generation in force', () => configuration.generation);
  gauge('configuration_content', 'First half of the digest in force', () => configuration.shortDigest);
  gauge(
    'configuration_behind_ms',
    'How long a newer generation has been known without becoming active',
    () => updater.behindMs,
  );
  gauge(
    'configuration_source_silence_ms',
    'Time since a datagram of a daemon that reports new generations',
    () => updater.readers.sourceSilenceMs,
  );
  metrics.gaugeByLabel(
    'cleatquay_crossed_calls',
    'Calls that were sent to another failure domain, by that',
    'failure_domain',
    () => router.crossedCalls,
  );
  metrics.gaugeByLabel(
    'cleatquay_calls_not_sent_again',
    'Calls of which an attempt was refused or lost and that were not sent again, by the reason',
    'reason',
    () => forwarder.unsentCalls,
  );
  metrics.gaugeByLabel(
    'cleatquay_calls_waiting_for_room',
    'Calls with a lost attempt that wait for an upstream with room, and what came of earlier ones',
    'state',
    () => forwarder.roomWaitCounts,
  );
}

/** What requests cost: their number and processor time by result, and the memory that they turn over. */
function addWorkGauges(metrics: Metrics, { time, heap }: Pick<Processor, 'time' | 'heap'>): void {
  const byResult = (read: (use: ResultUse) => number) => () =>
    new Map([...time.byResult].map(([result, use]) => [result, read(use)]));
  metrics.gaugeByLabel(
    'cleatquay_processor_result_ms',
    'Processor time of the events that led to a result for requests, by the result',
    'result',
    byResult(({ ms }) => ms),
  );
  metrics.gaugeByLabel(
    'cleatquay_processor_results',
    'Results for requests, or attempts of them, by the result',
    'result',
    byResult(({ count }) => count),
  );
  const figures: readonly [keyof HeapTotals, string][] = [
    ['scavenges', 'Collections of the young generation'],
    ['markCompacts', 'Collections of the whole heap'],
    ['allocatedBytes', 'Bytes allocated in the young generation'],
    ['promotedBytes', 'Bytes by which the old generation grew between collections of the whole heap'],
    ['compiledBytes', 'Size of machine code'],
  ];
  for (const [name, help] of figures)
    metrics.gauge(`cleatquay_heap_${toSnakeCase(name)}`, help, () => heap.totals[name]);
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

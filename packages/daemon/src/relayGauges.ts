/** Gauges of a daemon for unmodified callers, evaluated on each scrape; docs/operators/observe.md lists them. */
import { type Forwarder } from '@cleatquay/calls';
import { type Configuration } from '@cleatquay/configuration';
import { type Router } from '@cleatquay/routing';
import { type ConfigurationUpdater } from './configurationUpdater.js';
import { type Metrics } from './metrics.js';
import { type Processor } from './processor.js';

/** The components that the gauges read. */
export interface RelayGaugeSources {
  readonly processor: Pick<Processor, 'pressure' | 'time'>;
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

/**
 * Restores upstreams that an earlier process of this daemon recorded. A record may be outdated: the upstream may have
 * shut down while the discovery table could not be reached. So each upstream is restored only if its health check responds and names
 * the recorded instance.
 */
import { type LocalUpstream, type UpstreamDialect } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import { type Departure, type KnownUpstream } from '@cleatquay/membership';
import { checkHealth } from './upstreamHealth.js';
import { type Announcement } from './announcement.js';

/** How often to check for a configuration, which contains the path of the health check, ms. */
const CONFIGURATION_POLL_MS = 25;
/** Health checks at the same time. A record has one or two upstreams, unless another writer changed it. */
const MAX_CONCURRENT = 8;

/** Dependencies of `restoreUpstreams`. */
export interface RestoreUpstreamsOptions {
  readonly clock: Clock;
  /** How often upstreams announce themselves, ms. After that time their own announcements have arrived. */
  readonly heartbeatMs: number;
  readonly dialect: Pick<UpstreamDialect, 'instanceOf' | 'noticeOf' | 'loadOf' | 'loadHeader'>;
  /** Path of the health check of a service; undefined while there is no configuration. */
  readonly healthPath: (service: string) => string | undefined;
  /** The upstream of the service that has announced itself to this process or was restored, if any. */
  readonly upstreamOf: (service: string) => Pick<LocalUpstream, 'load'> | undefined;
  readonly announce: (announcement: Announcement) => Promise<void>;
  /** Called for an upstream that is running and reports that it is shutting down. */
  readonly markLeaving: (departure: Departure) => Promise<void>;
  readonly log: (message: string, facts: object) => void;
}

/** Restores the recorded upstreams that are still running. */
export async function restoreUpstreams(
  recorded: readonly KnownUpstream[],
  options: RestoreUpstreamsOptions,
): Promise<void> {
  // A daemon has one upstream of a service.
  const byService = new Map(recorded.map(upstream => [upstream.service, upstream]));
  await Readable.from(byService.values()).forEach(
    (upstream: KnownUpstream) => restoreUpstream(upstream, options),
    { concurrency: MAX_CONCURRENT },
  );
}

async function restoreUpstream(upstream: KnownUpstream, options: RestoreUpstreamsOptions): Promise<void> {
  const { upstreamOf, announce, markLeaving, log, dialect } = options;
  const facts = { service: upstream.service, instance: upstream.instanceId };
  try {
    const { state, headers } = await checkState(upstream, options);
    if (state === 'leaving') await markLeaving(upstream);
    if (upstreamOf(upstream.service)) return;
    log(STATE_MESSAGES[state], facts);
    if (state !== 'running') return;
    await announce({ ...upstream, state: 'ready', sequence: 0, warmupLeftMs: 0 });
    // Runs of the earlier process take slots from the first request on.
    upstreamOf(upstream.service)?.load.recordHeaders(dialect, headers);
  } catch (error) {
    log('A recorded upstream could not be restored.', { ...facts, reason: asFailure(error).describe() });
  }
}

/** The state of a recorded upstream, and the headers of its health check. */
interface CheckedState {
  readonly state: RecordedUpstreamState;
  readonly headers: IncomingHttpHeaders;
}

type RecordedUpstreamState = 'running' | 'leaving' | 'unconfirmed';

const STATE_MESSAGES: Record<RecordedUpstreamState, string> = {
  running: 'A recorded upstream is still running.',
  leaving: 'A recorded upstream reports that it is shutting down.',
  unconfirmed: 'A recorded upstream is not restored: no health check confirmed that it is running.',
};

async function checkState(
  { service, address, instanceId }: KnownUpstream,
  { clock, heartbeatMs, dialect, healthPath, upstreamOf }: RestoreUpstreamsOptions,
): Promise<CheckedState> {
  const end = clock.now() + heartbeatMs;
  while (healthPath(service) === undefined && clock.now() < end) await clock.sleep(CONFIGURATION_POLL_MS);
  const path = healthPath(service);
  if (path === undefined || upstreamOf(service)) return { state: 'unconfirmed', headers: {} };
  const { isHealthy, headers } = await checkHealth(address, path).catch((error: unknown) => {
    throw asFailure(error, 'announcementUnreachable');
  });
  if (dialect.instanceOf(headers) !== instanceId) return { state: 'unconfirmed', headers };
  if (dialect.noticeOf(headers).isLeaving) return { state: 'leaving', headers };
  return { state: isHealthy ? 'running' : 'unconfirmed', headers };
}

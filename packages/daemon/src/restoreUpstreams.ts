/**
 * Restores upstreams that an earlier process of this daemon recorded. A record may be outdated: the upstream may have
 * shut down while the discovery table could not be reached. So each upstream is restored only if its health check responds and names
 * the recorded instance.
 */
import { type UpstreamDialect } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type Departure, type KnownUpstream } from '@cleatquay/membership';
import { checkHealth } from './upstreamHealth.js';
import { type Announcement } from './announcement.js';

/** How often to check for a configuration, which contains the path of the health check, ms. */
const CONFIGURATION_POLL_MS = 25;

/** Dependencies of `restoreUpstreams`. */
export interface RestoreUpstreamsOptions {
  readonly clock: Clock;
  /** How often upstreams announce themselves, ms. After that time their own announcements have arrived. */
  readonly heartbeatMs: number;
  readonly dialect: Pick<UpstreamDialect, 'instanceOf' | 'noticeOf'>;
  /** Path of the health check of a service; undefined while there is no configuration. */
  readonly healthPath: (service: string) => string | undefined;
  /** Whether an upstream of the service has announced itself to this process. */
  readonly hasAnnounced: (service: string) => boolean;
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
  await Promise.all(recorded.map(upstream => restoreUpstream(upstream, options)));
}

async function restoreUpstream(upstream: KnownUpstream, options: RestoreUpstreamsOptions): Promise<void> {
  const { hasAnnounced, announce, markLeaving, log } = options;
  const facts = { service: upstream.service, instance: upstream.instanceId };
  try {
    const state = await checkState(upstream, options);
    if (state === 'leaving') await markLeaving(upstream);
    if (hasAnnounced(upstream.service)) return;
    log(STATE_MESSAGES[state], facts);
    if (state === 'running') await announce({ ...upstream, state: 'ready', sequence: 0, warmupLeftMs: 0 });
  } catch (error) {
    log('A recorded upstream could not be restored.', { ...facts, reason: asFailure(error).describe() });
  }
}

type RecordedUpstreamState = 'running' | 'leaving' | 'unconfirmed';

const STATE_MESSAGES: Record<RecordedUpstreamState, string> = {
  running: 'A recorded upstream is still running.',
  leaving: 'A recorded upstream reports that it is shutting down.',
  unconfirmed: 'A recorded upstream is not restored: no health check confirmed that it is running.',
};

async function checkState(
  { service, address, instanceId }: KnownUpstream,
  { clock, heartbeatMs, dialect, healthPath, hasAnnounced }: RestoreUpstreamsOptions,
): Promise<RecordedUpstreamState> {
  const end = clock.now() + heartbeatMs;
  while (healthPath(service) === undefined && clock.now() < end) await clock.sleep(CONFIGURATION_POLL_MS);
  const path = healthPath(service);
  if (path === undefined || hasAnnounced(service)) return 'unconfirmed';
  const { isHealthy, headers } = await checkHealth(address, path);
  if (dialect.instanceOf(headers) !== instanceId) return 'unconfirmed';
  if (dialect.noticeOf(headers).isLeaving) return 'leaving';
  return isHealthy ? 'running' : 'unconfirmed';
}

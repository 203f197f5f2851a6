/**
 * Upstreams that an earlier process of this daemon recorded. Their word may be old: one may have left since, while the
 * table was out of reach. Each is asked for its health, and taken over only if it answers as the instance that it was.
 */
import { type UpstreamDialect } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type Departure, type KnownUpstream } from '@cleatquay/membership';
import { askHealth } from './upstreamHealth.js';
import { type Announcement } from './announcement.js';

/** A look whether there is a configuration, which tells the path of the health check, ms. */
const CONFIGURATION_CHECK_MS = 25;

/** What taking over needs of its daemon. */
export interface FormerUpstreamsOptions {
  readonly clock: Clock;
  /** How often upstreams announce themselves, ms: after that, their own word has come. */
  readonly heartbeatMs: number;
  readonly dialect: Pick<UpstreamDialect, 'instanceOf' | 'noticeOf'>;
  /** Path of the health check of a service; undefined while there is no configuration. */
  readonly healthPath: (service: string) => string | undefined;
  /** Whether an upstream of the service has announced itself to this process. */
  readonly isKnown: (service: string) => boolean;
  readonly announce: (announcement: Announcement) => Promise<void>;
  /** It is there and says that it leaves. */
  readonly leave: (departure: Departure) => Promise<void>;
  readonly log: (message: string, facts: object) => void;
}

/** Takes over those that are still there. */
export async function takeOver(
  former: readonly KnownUpstream[],
  options: FormerUpstreamsOptions,
): Promise<void> {
  await Promise.all(former.map(upstream => takeOverOne(upstream, options)));
}

async function takeOverOne(upstream: KnownUpstream, options: FormerUpstreamsOptions): Promise<void> {
  const { isKnown, announce, leave, log } = options;
  const facts = { service: upstream.service, instance: upstream.instanceId };
  try {
    const state = await stateOf(upstream, options);
    if (state === 'leaving') await leave(upstream);
    if (isKnown(upstream.service)) return;
    log(FOUND[state], facts);
    if (state === 'there') await announce({ ...upstream, state: 'ready', sequence: 0, warmupLeftMs: 0 });
  } catch (error) {
    log('A recorded upstream was left out.', { ...facts, reason: asFailure(error).describe() });
  }
}

type FormerState = 'there' | 'leaving' | 'gone';

const FOUND: Record<FormerState, string> = {
  there: 'A recorded upstream is still there.',
  leaving: 'A recorded upstream says that it leaves.',
  gone: 'A recorded upstream is not there any more.',
};

async function stateOf(
  { service, address, instanceId }: KnownUpstream,
  { clock, heartbeatMs, dialect, healthPath, isKnown }: FormerUpstreamsOptions,
): Promise<FormerState> {
  const end = clock.now() + heartbeatMs;
  while (healthPath(service) === undefined && clock.now() < end) await clock.sleep(CONFIGURATION_CHECK_MS);
  const path = healthPath(service);
  if (path === undefined || isKnown(service)) return 'gone';
  const { isHealthy, headers } = await askHealth(address, path);
  if (dialect.instanceOf(headers) !== instanceId) return 'gone';
  if (dialect.noticeOf(headers).isLeaving) return 'leaving';
  return isHealthy ? 'there' : 'gone';
}

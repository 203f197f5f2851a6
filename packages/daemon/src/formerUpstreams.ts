/**
 * Upstreams that an earlier process of this daemon recorded. Their word may be old: one may have left since, while the
 * table was out of reach. Each is asked for its health, and taken over only if it answers as the instance that it was.
 */
import { type UpstreamDialect } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type KnownUpstream } from '@cleatquay/membership';
import { askHealth } from './upstreamHealth.js';
import { type Announcement } from './upstreams.js';

/** A look whether there is a configuration, which tells the path of the health check, ms. */
const CONFIGURATION_CHECK_MS = 25;

/** What taking over needs of its daemon. */
export interface FormerUpstreamsOptions {
  readonly clock: Clock;
  /** How often upstreams announce themselves, ms: after that, their own word has come. */
  readonly heartbeatMs: number;
  readonly instanceOf: UpstreamDialect['instanceOf'];
  /** Path of the health check of a service; undefined while there is no configuration. */
  readonly healthPath: (service: string) => string | undefined;
  /** Whether an upstream of the service has announced itself to this process. */
  readonly isKnown: (service: string) => boolean;
  readonly announce: (announcement: Announcement) => Promise<void>;
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
  const { isKnown, announce, log } = options;
  const facts = { service: upstream.service, instance: upstream.instanceId };
  try {
    const isThere = await answersAs(upstream, options);
    if (isKnown(upstream.service)) return;
    log(
      isThere ? 'A recorded upstream is still there.' : 'A recorded upstream is not there any more.',
      facts,
    );
    if (isThere) await announce({ ...upstream, state: 'ready', sequence: 0, warmupLeftMs: 0 });
  } catch (error) {
    log('A recorded upstream was left out.', { ...facts, reason: asFailure(error).describe() });
  }
}

async function answersAs(
  { service, address, instanceId }: KnownUpstream,
  { clock, heartbeatMs, instanceOf, healthPath, isKnown }: FormerUpstreamsOptions,
): Promise<boolean> {
  const end = clock.now() + heartbeatMs;
  while (healthPath(service) === undefined && clock.now() < end) await clock.sleep(CONFIGURATION_CHECK_MS);
  const path = healthPath(service);
  if (path === undefined || isKnown(service)) return false;
  const { isHealthy, headers } = await askHealth(address, path);
  return isHealthy && instanceOf(headers) === instanceId;
}

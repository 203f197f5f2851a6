/** Asks an upstream for its health. */
import { type IncomingHttpHeaders } from 'node:http';
import { request } from 'undici';

/** A health check that takes longer isn't waited for, ms: an upstream that has room answers much sooner. */
const HEALTH_TIMEOUT_MS = 500;
const HEALTHY = 200;

/** What an upstream answered. */
export interface Health {
  readonly isHealthy: boolean;
  readonly headers: IncomingHttpHeaders;
}

/** Asks at an address, ip:port; fails where nothing answers in time. */
export async function askHealth(address: string, path: string): Promise<Health> {
  const signal = AbortSignal.timeout(HEALTH_TIMEOUT_MS);
  const { statusCode, headers, body } = await request(`http://${address}${path}`, { signal });
  await body.dump();
  return { isHealthy: statusCode === HEALTHY, headers };
}

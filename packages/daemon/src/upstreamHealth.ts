/** Requests the health check of an upstream. */
import { type IncomingHttpHeaders } from 'node:http';
import { request } from 'undici';

/** Timeout of a health check, ms. An upstream with free capacity responds much sooner. */
const HEALTH_TIMEOUT_MS = 500;
const HEALTHY_STATUS = 200;

/** The response to a health check. */
export interface HealthStatus {
  readonly isHealthy: boolean;
  readonly headers: IncomingHttpHeaders;
}

/** Requests the health check at an address, ip:port. Rejects if there is no response in time. */
export async function checkHealth(address: string, path: string): Promise<HealthStatus> {
  const signal = AbortSignal.timeout(HEALTH_TIMEOUT_MS);
  const { statusCode, headers, body } = await request(`http://${address}${path}`, { signal });
  await body.dump();
  return { isHealthy: statusCode === HEALTHY_STATUS, headers };
}

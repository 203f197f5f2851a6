/** A port that nothing listens on just now, for settings that ask for any. */
import { type AddressInfo, createServer } from 'node:net';

/** Finds a free TCP port of `ip`. */
export async function freePort(ip: string): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, ip, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Checks of an announced address: an upstream runs on the VM of its daemon, and listens. */
import { Failure } from '@cleatquay/errors';
import { splitAddress } from '@cleatquay/settings';
import { connect } from 'node:net';

/** Time in which a listening process on the same VM lets a connection in, even when it is busy, ms. */
const PROBE_TIMEOUT_MS = 1000;

/** Fails for an address of another VM. */
export function checkSameVm(address: string, ownIp: string): void {
  const { ip } = splitAddress(address);
  if (ip === ownIp) return;
  const message = `Expected the IP number of this VM, ${ownIp}, found ${ip}.`;
  throw new Failure(message, { result: 'announcementInvalid', field: 'address' });
}

/** Fails for an address at which nothing listens. */
export async function checkListening(address: string): Promise<void> {
  const { ip, port } = splitAddress(address);
  if (await accepts(ip, port)) return;
  throw new Failure(`Nothing accepts connections at ${address}.`, {
    result: 'announcementUnreachable',
    field: 'address',
  });
}

async function accepts(ip: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host: ip, port, timeout: PROBE_TIMEOUT_MS });
    const settle = (result: boolean) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });
}

/** Checks an announced address: an upstream must run on the VM of its daemon, and accept connections. */
import { Failure } from '@cleatquay/errors';
import { splitAddress } from '@cleatquay/settings';
import { connect } from 'node:net';

/** Timeout for connecting, ms. A listening process on the same VM accepts sooner, even when it is busy. */
const CONNECT_TIMEOUT_MS = 1000;

/** Throws if the address belongs to another VM. */
export function checkSameVm(address: string, ownIp: string): void {
  const { ip } = splitAddress(address);
  if (ip === ownIp) return;
  const message = `Expected the IP address of this VM, ${ownIp}, found ${ip}.`;
  throw new Failure(message, { result: 'announcementInvalid', field: 'address' });
}

/** Rejects if nothing accepts connections at the address. */
export async function checkListening(address: string): Promise<void> {
  const { ip, port } = splitAddress(address);
  if (await canConnect(ip, port)) return;
  throw new Failure(`Nothing accepts connections at ${address}.`, {
    result: 'announcementUnreachable',
    field: 'address',
  });
}

async function canConnect(ip: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host: ip, port, timeout: CONNECT_TIMEOUT_MS });
    const settle = (result: boolean) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });
}

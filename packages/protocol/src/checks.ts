/** Checks on messages from outside the process, beyond what the codec checks. */
import { type Member, type RequestHead } from './generated/inner.js';

const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/;
const HIGHEST_PORT = 65_535;
const MAX_PATH = 16_384;
const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Whether a first part names a call that can be carried. */
export function isUsableHead(head: RequestHead | undefined): head is RequestHead {
  if (!head?.context) return false;
  if (head.context.requestId === '' || head.service === '') return false;
  return METHODS.has(head.method) && head.path.startsWith('/') && head.path.length <= MAX_PATH;
}

/** Whether a text is ip:port, so that something can be sent there. */
export function isAddress(text: string): boolean {
  const port = Number(text.slice(text.lastIndexOf(':') + 1));
  return ADDRESS.test(text) && port > 0 && port <= HIGHEST_PORT;
}

/** Whether a member from a datagram can be taken into the table. */
export function isUsableMember(member: Member): boolean {
  const addresses = [member.address, member.gossipAddress, member.operatorAddress];
  return addresses.every(isAddress) && member.epoch > 0 && member.failureDomain !== '';
}

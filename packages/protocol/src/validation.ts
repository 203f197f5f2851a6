/** Validation of messages from other processes beyond that of the codec. */
import { type Member, type RequestHead } from './generated/inner.js';

const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/;
const MAX_PORT = 65_535;
const MAX_PATH_LENGTH = 16_384;
const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Whether the head of a request has all that is needed to forward it. */
export function isValidHead(head: RequestHead | undefined): head is RequestHead {
  if (!head?.context) return false;
  if (head.context.requestId === '' || head.service === '') return false;
  return METHODS.has(head.method) && head.path.startsWith('/') && head.path.length <= MAX_PATH_LENGTH;
}

/** Whether a text is ip:port with a usable port. */
export function isAddress(text: string): boolean {
  const port = Number(text.slice(text.lastIndexOf(':') + 1));
  return ADDRESS.test(text) && port > 0 && port <= MAX_PORT;
}

/** Whether a member from a datagram may enter the member table. */
export function isValidMember(member: Member): boolean {
  const addresses = [member.address, member.gossipAddress, member.operatorAddress];
  return addresses.every(isAddress) && member.epoch > 0 && member.failureDomain !== '';
}

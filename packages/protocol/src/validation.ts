/** Validation of messages from other processes beyond that of the codec. */
import { isIPv4 } from 'node:net';
import { type RequestHead } from './generated/inner.js';

const PORT = /^[1-9]\d{0,4}$/;
const MAX_PORT = 65_535;
const MAX_PATH_LENGTH = 16_384;
const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);

/** Whether the head of a request has all that is needed to forward it. */
export function isValidHead(head: RequestHead | undefined): head is RequestHead {
  if (!head?.context) return false;
  if (head.context.requestId === '' || head.service === '') return false;
  return METHODS.has(head.method) && head.path.startsWith('/') && head.path.length <= MAX_PATH_LENGTH;
}

/** Whether a text is ip:port with an IPv4 address and a usable port. Anything else might be looked up as a name. */
export function isAddress(text: string): boolean {
  const colon = text.lastIndexOf(':');
  const port = text.slice(colon + 1);
  return isIPv4(text.slice(0, colon)) && PORT.test(port) && Number(port) <= MAX_PORT;
}

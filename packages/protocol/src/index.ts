/** The peer protocol between daemons: its messages and its gRPC service, and functions that create and validate messages. */
export * from './generated/inner.js';
export { endOf, refusalOf, noLoad, ANY_EPOCH } from './parts.js';
export { isAddress, isUsableHead, isUsableMember } from './checks.js';

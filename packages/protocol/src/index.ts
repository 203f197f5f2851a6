/** The inner protocol: its messages, and the gRPC service that carries calls. */
export * from './generated/inner.js';
export { endOf, refusalOf, noLoad, ANY_EPOCH } from './parts.js';
export { isAddress, isUsableHead, isUsableMember } from './checks.js';

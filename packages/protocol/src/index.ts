/** The peer protocol between daemons: its messages and its gRPC service, and functions that create and validate messages. */
export * from './generated/inner.js';
export { refusalPart, createRefusal, emptyLoad, ANY_EPOCH } from './messageFactories.js';
export { isAddress, isValidHead, isValidMember } from './validation.js';

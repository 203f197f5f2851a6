/** The peer protocol between daemons: its messages and its gRPC service, and functions that create and validate messages. */
export * from './generated/inner.js';
export { refusalPart, createRefusal, emptyLoad, ANY_EPOCH } from './messageFactories.js';
export { isAddress, isValidHead } from './validation.js';
export { isValidMember } from './validMember.js';
export { isValidQuotaAnswer, isValidQuotaQuestion } from './validQuotaMessages.js';
export { FrameEncoder } from './frameEncoder.js';

/** A client library for callers: request ids, resends, deadlines, and outcomes told apart. */
export { Caller, type CallerOptions, type CallerResult, type CallSpecification } from './caller.js';

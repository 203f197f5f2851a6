/** A client library for callers: request ids, resends, deadlines and distinct outcomes. */
export { Caller, type CallerOptions, type CallerResult, type CallSpecification } from './caller.js';

/** Numbered result codes and the errors that carry them. */
export { type Outcome, type ResultCode, type ResultName, resultByCode, resultCodes } from './resultCodes.js';
export { Failure, type FailureDetails, asFailure } from './failure.js';
export { invariant, invariantViolations } from './invariant.js';

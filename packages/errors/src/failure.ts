/** The error type of all packages: a result code, a message, and the field concerned. */
import ModernError, { type InstanceOptions } from 'modern-errors';
import { type ResultCode, type ResultName, resultCodes } from './resultCodes.js';

/** Details of a failure besides its message. */
export interface FailureDetails {
  readonly result?: ResultName;
  /** Path of the invalid field, such as `services.history.slots`. */
  readonly field?: string;
  readonly cause?: unknown;
}

class NumberedError extends ModernError {
  readonly result: ResultName;
  readonly field: string | undefined;

  constructor(message: string, details?: InstanceOptions & FailureDetails) {
    super(message, details?.cause === undefined ? {} : { cause: details.cause });
    this.result = details?.result ?? 'internal';
    this.field = details?.field;
  }

  /** The row of the table of result codes. */
  get row(): ResultCode {
    return resultCodes[this.result];
  }

  /** One line for display: code, field, message and advice. */
  describe(): string {
    const fieldPrefix = this.field === undefined ? '' : `${this.field}: `;
    return `CQ${String(this.row.code)} ${fieldPrefix}${this.message.replaceAll('\n', ' ')} ${this.row.advice}`;
  }
}

/** An error with a numbered result. */
export const Failure = ModernError.subclass('FailureError', { custom: NumberedError });
export type Failure = InstanceType<typeof Failure>;

/** Returns a failure as it is, and wraps anything else that was thrown in a failure with `result`. */
export function asFailure(error: unknown, result: ResultName = 'internal'): Failure {
  if (error instanceof Failure) return error as Failure;
  return new Failure('', { result, cause: error });
}

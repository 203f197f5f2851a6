/** A log that falls silent after a number of lines, for conditions that callers can bring about as often as they like. */

/** Writes one line. */
export type LogLine = (message: string, facts: object) => void;

const MAX_LINES = 100;

/** The log of one condition; further occurrences show in the metrics only. */
export function boundedLog(log: LogLine, maxLines = MAX_LINES): LogLine {
  let lines = 0;
  return (message, facts) => {
    if (++lines <= maxLines) log(message, facts);
  };
}

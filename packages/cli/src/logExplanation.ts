/** Explains a request from the logs of one or more daemons, in order of time. */
import { Failure } from '@cleatquay/errors';
import { readFileSync } from 'node:fs';

/** Messages that a daemon logs when it receives a request from its caller, and when it has responded. */
const START_MESSAGE = 'Request: Taken.';
const END_MESSAGES = ['Request: Answered.', 'Request: Refused or failed.'];
const STANDARD_INPUT = 0;
/** Separators between the id of a request and the suffix of a call made for it: on the users' platform, and in the native interface. */
const CALL_ID_SEPARATORS = ['.', '/'];

interface LogLine {
  readonly request: string;
  readonly at: string;
  readonly msg: string;
  readonly daemon?: string;
  readonly [fact: string]: unknown;
}

/** Reads logs from files, or from standard input for "-". */
export function readLogs(paths: readonly string[]): string {
  return paths.map(path => readFileSync(path === '-' ? STANDARD_INPUT : path, 'utf8')).join('\n');
}

/**
 * The path of a request through the daemons. Throws if the logs lack its first or last line: lines are sampled and
 * bounded in number, and an incomplete path explains nothing.
 */
export function explainFromLogs(text: string, requestId: string): string {
  const lines = text.split('\n').flatMap(line => parseLine(line, requestId));
  const own = lines.filter(({ request }) => request === requestId);
  const missing = [
    own.some(({ msg }) => msg === START_MESSAGE) ? '' : `"${START_MESSAGE}"`,
    own.some(({ msg }) => END_MESSAGES.includes(msg)) ? '' : `"${END_MESSAGES.join('" or "')}"`,
  ].filter(message => message !== '');
  if (missing.length > 0) {
    const message = `For request ${requestId} the logs have ${String(own.length)} lines, but not ${missing.join(' and ')}.`;
    throw new Failure(message, { result: 'linesMissing' });
  }
  return lines
    .sort((a, b) => a.at.localeCompare(b.at))
    .map(describe)
    .join('\n');
}

function parseLine(line: string, requestId: string): LogLine[] {
  if (!line.includes(requestId)) return [];
  try {
    const read = JSON.parse(line.slice(line.indexOf('{'))) as Partial<LogLine>;
    const { request, at, msg } = read;
    if (request === undefined || at === undefined || msg === undefined) return [];
    const isCall = CALL_ID_SEPARATORS.some(separator => request.startsWith(requestId + separator));
    return request === requestId || isCall ? [{ ...read, request, at, msg }] : [];
  } catch {
    // A log may contain lines of other programs, and its last line may be truncated.
    return [];
  }
}

const COMMON_FIELDS = new Set(['level', 'time', 'part', 'msg', 'request', 'at', 'daemon']);

function describe(line: LogLine): string {
  const facts = Object.entries(line).filter(([name]) => !COMMON_FIELDS.has(name));
  const factsText = facts.map(([name, value]) => `${name}=${String(value)}`).join(' ');
  const { at, daemon = '-', request, msg } = line;
  return [at, daemon, request, msg.replace('Request: ', ''), factsText].join('  ').trimEnd();
}

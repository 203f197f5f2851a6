/** What the logs of one or more daemons say of a request, in order of time. */
import { Failure } from '@cleatquay/errors';
import { readFileSync } from 'node:fs';

/** Decisions with which a daemon takes a request from its caller, and lets go of it. */
const TAKEN = 'Request: Taken.';
const ENDS = ['Request: Answered.', 'Request: Refused or failed.'];
const STANDARD_INPUT = 0;
/** Between the id of a request and that of a call made for it: on the users' platform, and in our own interface. */
const CALL_MARKS = ['.', '/'];

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
 * The path of a request through the daemons. Fails when the logs don't hold its beginning and its end: lines are
 * sampled and bounded, and half a path explains nothing.
 */
export function explainFromLogs(text: string, requestId: string): string {
  const lines = text.split('\n').flatMap(line => parseLine(line, requestId));
  const own = lines.filter(({ request }) => request === requestId);
  const missing = [
    own.some(({ msg }) => msg === TAKEN) ? '' : `"${TAKEN}"`,
    own.some(({ msg }) => ENDS.includes(msg)) ? '' : `"${ENDS.join('" or "')}"`,
  ].filter(what => what !== '');
  if (missing.length > 0) {
    const message = `Of ${requestId} these logs have ${String(own.length)} lines, but not ${missing.join(' and ')}.`;
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
    const isCall = CALL_MARKS.some(mark => request.startsWith(requestId + mark));
    return request === requestId || isCall ? [{ ...read, request, at, msg }] : [];
  } catch {
    // A log may hold lines of other programs, and its last line may be cut.
    return [];
  }
}

const NOT_FACTS = new Set(['level', 'time', 'part', 'msg', 'request', 'at', 'daemon']);

function describe(line: LogLine): string {
  const facts = Object.entries(line).filter(([name]) => !NOT_FACTS.has(name));
  const told = facts.map(([name, value]) => `${name}=${String(value)}`).join(' ');
  const { at, daemon = '-', request, msg } = line;
  return [at, daemon, request, msg.replace('Request: ', ''), told].join('  ').trimEnd();
}

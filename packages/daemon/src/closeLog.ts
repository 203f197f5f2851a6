/** Logs the ends of callers' connections on which requests are in flight: who decided on it, and how far each request was. */
import { type Socket } from 'node:net';
import { type LogLine, boundedLog } from './boundedLog.js';

/**
 * Why a connection ended. The caller ended its sending side or its socket failed, a response announced the end, or a limit or fault named here decided on
 * it; `unasked` if nothing of these did: a timer of Node.js.
 */
export type CloseReason =
  | 'pipelinedRequests'
  | 'unreadBody'
  | 'cutResponse'
  | 'invalidInput'
  | 'drainEnd'
  | 'callerEnd'
  | 'socketError'
  | 'announced'
  | 'unasked';

/** How far a request is. An upstream may run one that was passed on. */
export type RequestProgress = 'waiting' | 'passed-on' | 'responding';

/** What is known of a request in flight. */
export interface TrackedRequest {
  readonly progress: RequestProgress;
}

/** Dependencies of the log. */
export interface CloseLogOptions {
  readonly log: LogLine;
  /** Lag of the event loop, ms. */
  readonly lagMs: () => number;
}

/** Why connections are being closed that have not closed yet. */
const decided = new WeakMap<object, CloseReason>();

/** Records why a connection is about to be closed; the first reason counts. */
export function noteClose(socket: object, reason: CloseReason): void {
  if (!decided.has(socket)) decided.set(socket, reason);
}

/** The log of one daemon, which is bounded for each reason: callers can bring some of them about as often as they like. */
export class CloseLog {
  private readonly lines = new Map<CloseReason, LogLine>();
  private hasDrainEnded = false;

  constructor(private readonly options: CloseLogOptions) {}

  /** All connections are closed from now on. */
  endDrain(): void {
    this.hasDrainEnded = true;
  }

  /** Logs the end of a connection if a request is in flight on it then. */
  follow(socket: Socket, requests: ReadonlySet<TrackedRequest>): void {
    // Before the listeners of Node.js, which end the responses.
    socket.prependOnceListener('close', () => {
      if (requests.size > 0) this.write(this.reasonOf(socket), requests);
    });
  }

  private reasonOf(socket: Socket): CloseReason {
    const reason = decided.get(socket);
    if (reason) return reason;
    if (this.hasDrainEnded) return 'drainEnd';
    if (socket.errored) return 'socketError';
    if (socket.readableEnded) return 'callerEnd';
    return socket.writableFinished ? 'announced' : 'unasked';
  }

  private write(reason: CloseReason, requests: ReadonlySet<TrackedRequest>): void {
    const counts: Record<RequestProgress, number> = { waiting: 0, 'passed-on': 0, responding: 0 };
    for (const { progress } of requests) counts[progress]++;
    // The lag is not sampled any more by then.
    const lagMs = this.hasDrainEnded ? undefined : Math.round(this.options.lagMs());
    const facts = { reason, requests: requests.size, ...counts, lagMs };
    this.lineOf(reason)('Callers: A connection closed with requests in flight.', facts);
  }

  private lineOf(reason: CloseReason): LogLine {
    const known = this.lines.get(reason);
    if (known) return known;
    const line = boundedLog(this.options.log);
    this.lines.set(reason, line);
    return line;
  }
}

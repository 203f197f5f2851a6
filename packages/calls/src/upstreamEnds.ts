/**
 * Tells an upstream that has ended from one that only broke an answer off: nothing listens at its address any more. What ran there when
 * the first connection broke is what it may have ended under.
 */
import { type Clock } from '@cleatquay/clock';
import { type SuspectRequest, fingerprintOf } from '@cleatquay/quarantine';
import { splitAddress } from '@cleatquay/settings';
import { connect } from 'node:net';
import { type RunningCalls, type RunningRequest } from './runningCalls.js';
import { type LocalUpstream } from './localUpstream.js';

/** An upstream on the same VM that takes longer to let a connection in hasn't ended, as far as is known, ms. */
const CONNECT_TIMEOUT_MS = 100;
/** Requests that are told of one end, those that began last: eight bytes each, so that they fit into one datagram. */
const MAX_REPORTED_REQUESTS = 64;

/** The end of an upstream, and what ran there. */
export interface UpstreamEnd {
  /** Names the start that has ended. */
  readonly start: string;
  readonly requests: readonly SuspectRequest[];
}

/** What this needs of its daemon. */
export interface UpstreamEndsOptions {
  readonly clock: Clock;
  readonly running: RunningCalls;
  /** Told once of each end, before those who asked are. */
  readonly onEnd: (end: UpstreamEnd) => Promise<void>;
}

/** Looks at upstreams whose connections break. */
export class UpstreamEnds {
  private readonly pendingChecks = new Map<string, Promise<UpstreamEnd | undefined>>();

  constructor(private readonly options: UpstreamEndsOptions) {}

  /** A connection of the upstream broke. Resolves with its end, or with undefined if it hasn't ended. */
  brokeOff(upstream: Pick<LocalUpstream, 'start' | 'address'>): Promise<UpstreamEnd | undefined> {
    const { start } = upstream;
    const known = this.pendingChecks.get(start);
    if (known) return known;
    const looked = this.checkAddress(upstream).finally(() => this.pendingChecks.delete(start));
    this.pendingChecks.set(start, looked);
    return looked;
  }

  private async checkAddress({
    start,
    address,
  }: Pick<LocalUpstream, 'start' | 'address'>): Promise<UpstreamEnd | undefined> {
    const { clock, running, onEnd } = this.options;
    const interrupted = running.at(start).slice(-MAX_REPORTED_REQUESTS);
    if (!(await refusesConnections(clock, address))) return undefined;
    const end = { start, requests: interrupted.flatMap(suspectsOf) };
    await onEnd(end);
    return end;
  }
}

function suspectsOf({ head, body }: RunningRequest): SuspectRequest[] {
  const { method, path } = head;
  const fingerprint = fingerprintAt(head, body);
  return fingerprint === undefined ? [] : [{ method, path, fingerprint }];
}

/** The fingerprint of a request that came from another daemon; undefined for a stream of which that one didn't tell it. */
export function fingerprintAt(
  head: RunningRequest['head'],
  body: RunningRequest['body'],
): string | undefined {
  if (head.fingerprint !== '') return head.fingerprint;
  return Buffer.isBuffer(body) ? fingerprintOf(head, body) : undefined;
}

/** Whether nothing listens there. An address that doesn't answer at all says nothing. */
function refusesConnections(clock: Clock, address: string): Promise<boolean> {
  const { ip, port } = splitAddress(address);
  return new Promise(resolve => {
    const socket = connect({ host: ip, port });
    const settle = (refuses: boolean) => {
      timer[Symbol.dispose]();
      socket.destroy();
      resolve(refuses);
    };
    // In a process that is behind, the refusal may be waiting to be read in the turn in which the timer goes off.
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => setImmediate(() => settle(false)));
    socket.on('connect', () => settle(false));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => settle(code === 'ECONNREFUSED'));
  });
}

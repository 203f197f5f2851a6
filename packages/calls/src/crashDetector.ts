/**
 * Distinguishes an upstream that crashed from one that only truncated a response: after a crash, nothing listens at its address. The requests that
 * were in flight when the first connection failed are the ones that it may have crashed under.
 */
import { type Clock } from '@cleatquay/clock';
import { type SuspectRequest, fingerprintOf } from '@cleatquay/quarantine';
import { splitAddress } from '@cleatquay/settings';
import { connect } from 'node:net';
import { type RunningCalls, type RunningRequest } from './runningCalls.js';
import { type LocalUpstream } from './localUpstream.js';
import { IntakeBody } from './uploadIntake.js';

/** An upstream on the same VM that neither accepts nor refuses a connection within this time counts as running. */
const CONNECT_TIMEOUT_MS = 100;
/** Limit of the requests reported for one crash, the latest ones. Each takes eight bytes, so that all fit into one datagram. */
const MAX_REPORTED_REQUESTS = 64;

/** The crash of an upstream, and the requests that were in flight there. */
export interface UpstreamCrash {
  /** Identifies the process start that crashed. */
  readonly start: string;
  readonly requests: readonly SuspectRequest[];
}

/** Dependencies on the daemon. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly running: RunningCalls;
  /** Called once per crash, before the checks that found it resolve. */
  readonly onCrash: (crash: UpstreamCrash) => Promise<void>;
}

/** Checks upstreams whose connections fail. */
export class CrashDetector {
  private readonly pendingChecks = new Map<string, Promise<UpstreamCrash | undefined>>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /** Checks an upstream of which a connection failed. Resolves with its crash, or with undefined if it has not crashed. */
  checkForCrash(upstream: Pick<LocalUpstream, 'start' | 'address'>): Promise<UpstreamCrash | undefined> {
    const { start } = upstream;
    const pending = this.pendingChecks.get(start);
    if (pending) return pending;
    const check = this.checkAddress(upstream).finally(() => this.pendingChecks.delete(start));
    this.pendingChecks.set(start, check);
    return check;
  }

  private async checkAddress({
    start,
    address,
  }: Pick<LocalUpstream, 'start' | 'address'>): Promise<UpstreamCrash | undefined> {
    const { clock, running, onCrash } = this.options;
    const inFlight = running.requestsAt(start).slice(-MAX_REPORTED_REQUESTS);
    if (!(await refusesConnections(clock, address))) return undefined;
    const crash = { start, requests: inFlight.flatMap(suspectsOf) };
    await onCrash(crash);
    return crash;
  }
}

function suspectsOf({ head, body }: RunningRequest): SuspectRequest[] {
  const { method, path } = head;
  const fingerprint = receivedFingerprint(head, body);
  return fingerprint === undefined ? [] : [{ method, path, fingerprint }];
}

/**
 * The fingerprint of a request from another daemon; undefined for a streamed body if
 * that daemon did not send the fingerprint, except for uploads, which are fingerprinted as they pass through.
 */
export function receivedFingerprint(
  head: RunningRequest['head'],
  body: RunningRequest['body'],
): string | undefined {
  if (head.fingerprint !== '') return head.fingerprint;
  if (body instanceof IntakeBody) return body.fingerprint;
  return Buffer.isBuffer(body) ? fingerprintOf(head, body) : undefined;
}

/** Whether the address refuses connections, so that nothing listens there. An address that does not respond counts as listening. */
export function refusesConnections(clock: Clock, address: string): Promise<boolean> {
  const { ip, port } = splitAddress(address);
  return new Promise(resolve => {
    const socket = connect({ host: ip, port });
    const settle = (refuses: boolean) => {
      timer[Symbol.dispose]();
      socket.destroy();
      resolve(refuses);
    };
    // With event-loop lag, the refusal may still be unread in the iteration in which the timer fires, so that one more iteration is needed.
    const timer = clock.after(CONNECT_TIMEOUT_MS, () => setImmediate(() => settle(false)));
    socket.on('connect', () => settle(false));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => settle(code === 'ECONNREFUSED'));
  });
}

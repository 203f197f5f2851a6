/** Request ids, which contain the address of the daemon that issued them, the home daemon. */
import { type Clock } from '@cleatquay/clock';
import { type ProcessIdentity, REQUEST_ID_RADIX as RADIX } from './processIdentity.js';

const SEPARATOR = '~';
const PATTERN = /^([\d.]{7,15}:\d{1,5})~([\da-z]{1,11})~([\da-z]{1,9})~([\da-z]{1,11})$/;

/** The parts of a request id. */
export interface RequestId {
  /** ip:port of the peer protocol of the daemon that issued it. */
  readonly home: string;
  /** Digits that identify that process; of an earlier build its epoch. */
  readonly process: string;
  /** When that process discards the state of the request, in ms on its own monotonic clock. */
  readonly expiresAt: number;
}

/** Parses a request id; undefined if the text is not one. */
export function parseRequestId(text: string): RequestId | undefined {
  const [, home, process, , expiry] = PATTERN.exec(text) ?? [];
  if (home === undefined || process === undefined || expiry === undefined) return undefined;
  return { home, process, expiresAt: Number.parseInt(expiry, RADIX) };
}

/** Issues the ids of one daemon. */
export class RequestIdIssuer {
  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    private readonly home: string,
    private readonly process: Pick<ProcessIdentity, 'digits'>,
  ) {}

  /** Issues a new id that expires after `lifetimeMs`. */
  issue(lifetimeMs: number): string {
    const expiresAt = Math.ceil(this.clock.now() + lifetimeMs);
    const [number, expiry] = [++this.sequence, expiresAt].map(n => n.toString(RADIX));
    return [this.home, this.process.digits, number, expiry].join(SEPARATOR);
  }
}

/** Request ids, which contain the address of the daemon that issued them, the home daemon. */
import { type Clock } from '@cleatquay/clock';

const SEPARATOR = '~';
const RADIX = 36;
const PATTERN = /^([\d.]{7,15}:\d{1,5})~([\da-z]{1,11})~([\da-z]{1,9})~([\da-z]{1,11})$/;

/** The parts of a request id. */
export interface RequestId {
  /** ip:port of the peer protocol of the daemon that issued it. */
  readonly home: string;
  /** The epoch of that process. */
  readonly epoch: number;
  /** When that process discards the state of the request, in ms on its own monotonic clock. */
  readonly expiresAt: number;
}

/** Parses a request id; undefined if the text is not one. */
export function parseRequestId(text: string): RequestId | undefined {
  const [, home, epoch, , expiry] = PATTERN.exec(text) ?? [];
  if (home === undefined || epoch === undefined || expiry === undefined) return undefined;
  return { home, epoch: Number.parseInt(epoch, RADIX), expiresAt: Number.parseInt(expiry, RADIX) };
}

/** Issues the ids of one daemon. */
export class RequestIdIssuer {
  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    private readonly home: string,
    private readonly epoch: () => number,
  ) {}

  /** Issues a new id that expires after `lifetimeMs`. */
  issue(lifetimeMs: number): string {
    const expiresAt = Math.ceil(this.clock.now() + lifetimeMs);
    const numbers = [this.epoch(), ++this.sequence, expiresAt].map(n => n.toString(RADIX));
    return [this.home, ...numbers].join(SEPARATOR);
  }
}

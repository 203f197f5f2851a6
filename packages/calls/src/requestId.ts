/** Request ids, which name the daemon that issued them: their home. */
import { type Clock } from '@cleatquay/clock';

const SEPARATOR = '~';
const RADIX = 36;
const PATTERN = /^([\d.]{7,15}:\d{1,5})~([\da-z]{1,11})~([\da-z]{1,9})~([\da-z]{1,11})$/;

/** The parts of a request id. */
export interface RequestId {
  /** ip:port of the inner protocol of the daemon that issued it. */
  readonly home: string;
  /** The epoch of that process. */
  readonly epoch: number;
  /** When that process forgets it, in ms on its own monotonic clock. */
  readonly expiresAt: number;
}

/** Reads an id; undefined for a text that is none. */
export function parseRequestId(text: string): RequestId | undefined {
  const [, home, epoch, , expiry] = PATTERN.exec(text) ?? [];
  if (home === undefined || epoch === undefined || expiry === undefined) return undefined;
  return { home, epoch: Number.parseInt(epoch, RADIX), expiresAt: Number.parseInt(expiry, RADIX) };
}

/** Issues the ids of one daemon. */
export class RequestIds {
  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    private readonly home: string,
    private readonly epoch: () => number,
  ) {}

  /** A fresh id that is remembered for `lifetimeMs`. */
  issue(lifetimeMs: number): string {
    const expiresAt = Math.ceil(this.clock.now() + lifetimeMs);
    const numbers = [this.epoch(), ++this.sequence, expiresAt].map(n => n.toString(RADIX));
    return [this.home, ...numbers].join(SEPARATOR);
  }
}

/** What identifies a daemon process. An address doesn't, nor does an epoch, which only orders the records of an address. */
import { type Clock } from '@cleatquay/clock';
import { randomBytes } from 'node:crypto';

const ID_BYTES = 16;

/** Radix of the numbers in request ids. */
export const REQUEST_ID_RADIX = 36;
const REQUEST_ID_DIGITS = 11;

/** Stands for the process of an earlier build, which does not tell its identity. */
export const UNKNOWN_PROCESS = '';

/** Identity of one daemon process. */
export class ProcessIdentity {
  /** 128 random bits in hexadecimal. From the machine's own generator, since one with a seed gives several processes the same. */
  readonly id = randomBytes(ID_BYTES).toString('hex');
  /** The part of the id in request ids: as many base-36 digits as earlier builds accept there. */
  readonly digits = BigInt(`0x${this.id}`).toString(REQUEST_ID_RADIX).slice(-REQUEST_ID_DIGITS);
  private readonly startedAt: number;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /** How long this process has run, ms. */
  get ageMs(): number {
    return this.clock.now() - this.startedAt;
  }
}

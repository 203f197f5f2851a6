/** Probes that wait for their acknowledgements, by sequence number. */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';

/** Sequence numbers have 32 bits: above this value they suffice for a probe each ms for 24 days. */
const MAX_FIRST_SEQUENCE = 2 ** 31;

interface Probe<Context> {
  readonly settle: (isAcknowledged: boolean) => void;
  readonly context: Context;
  readonly timer: Timer;
}

/** Probes that are not acknowledged yet. */
export class Probes<Context> implements Disposable {
  private readonly pending = new Map<number, Probe<Context>>();
  private lastSequence: number;
  private isClosed = false;

  /**
   * Sequence numbers start at a random value, so that a delayed acknowledgement for an earlier process at this address is not taken for one to
   * this process.
   */
  constructor(
    private readonly clock: Clock,
    random: Random,
    /** Gives the value that is stored with a probe, and returned by `acknowledge`. */
    private readonly captureContext: () => Context,
  ) {
    this.lastSequence = Math.floor(random() * MAX_FIRST_SEQUENCE);
  }

  /** Starts a probe by `send`, which gets its sequence number; resolves to whether it was acknowledged in time. */
  start(timeoutMs: number, send: (sequence: number) => void): Promise<boolean> {
    if (this.isClosed) return Promise.resolve(false);
    const sequence = ++this.lastSequence;
    return new Promise(resolve => {
      const settle = (isAcknowledged: boolean) => {
        this.pending.get(sequence)?.timer[Symbol.dispose]();
        this.pending.delete(sequence);
        resolve(isAcknowledged);
      };
      const timer = this.clock.after(timeoutMs, () => settle(false));
      this.pending.set(sequence, { settle, context: this.captureContext(), timer });
      send(sequence);
    });
  }

  /** Settles a probe and returns its context; undefined if the acknowledgement is late or its sequence number is unknown. */
  acknowledge(sequence: number): Context | undefined {
    const probe = this.pending.get(sequence);
    probe?.settle(true);
    return probe?.context;
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    for (const { settle } of [...this.pending.values()]) settle(false);
  }
}

/** Ends a wait for the source as soon as daemons nearby lose the source, which the wait itself would show only at its end. */
import { type Clock, type Timer } from '@cleatquay/clock';

/** What the watch looks at. */
export interface PeerWatchOptions {
  readonly clock: Pick<Clock, 'after'>;
  /** Number of daemons nearby that have lost the source at present. */
  readonly lostPeers: () => number;
  /** Time until the next look, ms. */
  readonly intervalMs: () => number;
}

/** The watch during one wait. */
export class PeerWatch implements Disposable {
  private readonly aborter = new AbortController();
  private fewest: number;
  private timer: Timer | undefined;

  constructor(private readonly options: PeerWatchOptions) {
    this.fewest = options.lostPeers();
    this.schedule();
  }

  /** Aborts when the number has risen, or at `end`. */
  get signal(): AbortSignal {
    return this.aborter.signal;
  }

  /** Ends the wait. */
  end(): void {
    this.aborter.abort();
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
  }

  private schedule(): void {
    const { clock, intervalMs } = this.options;
    this.timer = clock.after(intervalMs(), () => this.look());
  }

  private look(): void {
    const lost = this.options.lostPeers();
    if (lost > this.fewest) return this.end();
    this.fewest = lost;
    this.schedule();
  }
}

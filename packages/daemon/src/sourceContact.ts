/**
 * Keeps a daemon that leaves reading the platform to others in contact with those, its sources. Gossip spreads a change within fractions of a
 * second, but to random members: it may miss a daemon, above all while many members are unreachable. Each acknowledgement of a source
 * tells which version it has.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type PlatformReaders } from './platformReaders.js';

/** Interval of checks, ms: several probes are sent before the daemon counts as uninformed (`platformReaders.ts`), since datagrams get lost. */
const CHECK_INTERVAL_MS = 250;
/** A source that was silent for this time is probed, ms. Shorter times would cost more probes. */
const PROBE_AFTER_MS = 500;

/** Dependencies of the task. */
export interface SourceContactOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly readers: Pick<PlatformReaders, 'sources' | 'isReader' | 'sourceSilenceMs'>;
  readonly membership: Pick<Membership, 'requestProof' | 'table'>;
}

/** A task that probes the sources in turn while they are silent. */
export class SourceContact implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private probes = 0;

  constructor(private readonly options: SourceContactOptions) {}

  /** Starts the task. */
  start(): void {
    this.running = this.probePeriodically();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async probePeriodically(): Promise<void> {
    const { clock, random, readers } = this.options;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS * (0.75 + random() / 2), signal);
      if (!signal.aborted && !readers.isReader && readers.sourceSilenceMs > PROBE_AFTER_MS) this.probeNext();
    }
  }

  private probeNext(): void {
    const { readers, membership } = this.options;
    const { sources } = readers;
    const source = sources[this.probes++ % sources.length];
    const address = membership.table.get(source ?? '')?.gossipAddress;
    if (address !== undefined) membership.requestProof(address);
  }
}

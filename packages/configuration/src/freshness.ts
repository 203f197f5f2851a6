/**
 * How lately the configuration in force is known to have been the newest in the platform. Keys that were taken away must not be honoured
 * for longer than a bound, also by a daemon that hears of nothing: what can't be shown to be new is taken for old.
 *
 * A proof is a moment as of which no newer version had been accepted: that at which a read of the platform was begun, never that at which its
 * answer came. From one daemon to the next it travels as an age in the answer to a question, and counts from the moment at which the question was
 * asked, so that an answer that is held up on the way, or comes again, makes it older and never younger. A version that is in
 * force was accepted after all versions before it, so that a proof for one of them holds for it, too.
 */
import { type Clock } from '@cleatquay/clock';

/** A moment, as two clocks of this VM have it, ms. Only differences mean anything. */
export interface Moment {
  readonly monotonic: number;
  readonly date: number;
}

/** What a daemon says of its configuration. */
export interface HeardProof {
  readonly generation: number;
  /** First half of the digest of its content. */
  readonly shortDigest: number;
  /** How long ago it was known to be the newest, ms. */
  readonly ageMs: number;
}

/** The configuration whose freshness is told. */
export interface ProvenConfiguration {
  readonly generation: number;
  readonly shortDigest: number;
}

/** The youngest proof that this daemon has. */
export class Freshness {
  private provenAt: Moment | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly configuration: ProvenConfiguration,
  ) {}

  /** The present moment: to be taken before a read is begun, or a question is asked. */
  moment(): Moment {
    return { monotonic: this.clock.now(), date: this.clock.date().getTime() };
  }

  /** How long ago what is in force was known to be the newest, ms; infinite if it never was. */
  get ageMs(): number {
    return this.provenAt ? this.elapsedMs(this.provenAt) : Number.POSITIVE_INFINITY;
  }

  /** A read of the platform that was begun then found nothing newer than what is in force now. */
  confirmed(begun: Moment): void {
    if (this.configuration.generation > 0) this.offer(begun);
  }

  /**
   * A peer answered a question that was asked then. Ignored for a version that is newer than what is in force here, and for another content of the same
   * version.
   */
  heard({ generation, shortDigest, ageMs }: HeardProof, asked: Moment): void {
    const { configuration } = this;
    const isOther = generation === configuration.generation && shortDigest !== configuration.shortDigest;
    const isUsable = generation > 0 && generation <= configuration.generation && !isOther;
    if (!isUsable || !(ageMs >= 0)) return;
    this.offer({ monotonic: asked.monotonic - ageMs, date: asked.date - ageMs });
  }

  private offer(moment: Moment): void {
    if (this.elapsedMs(moment) < this.ageMs) this.provenAt = moment;
  }

  /**
   * By the clock that went on more: the steady one of most systems stands still while the VM is suspended, and the time of day may be set back. One
   * that is set forward makes proofs too old for a moment, until the next one.
   */
  private elapsedMs({ monotonic, date }: Moment): number {
    return Math.max(this.clock.now() - monotonic, this.clock.date().getTime() - date);
  }
}

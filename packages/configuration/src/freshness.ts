/**
 * Freshness of the active configuration: how long ago it is known to have been the newest in the platform. Revoked keys must not be accepted
 * for longer than a configured time, even by a daemon without any connection: a configuration without a recent proof is treated as stale.
 *
 * A proof is a moment as of which no newer version had been accepted: the moment at which a read of the platform began, never that of its
 * response. Between daemons a proof travels as an age in the response to a request, and counts from the moment at which the request was sent,
 * so that a delayed or duplicated response makes it older, never younger. The active version was accepted after all versions before it,
 * so that a proof for an earlier version also holds for it.
 */
import { type Clock } from '@cleatquay/clock';

/** A moment by two clocks of this VM, the monotonic one and the wall clock, ms. Only differences are meaningful. */
export interface Moment {
  readonly monotonic: number;
  readonly date: number;
}

/** A freshness proof received from another daemon. */
export interface FreshnessProof {
  readonly generation: number;
  /** First half of the digest of its content. */
  readonly shortDigest: number;
  /** How long ago that configuration was known to be the newest, ms. */
  readonly ageMs: number;
}

/** Identifies the active configuration, to which proofs apply. */
export interface ConfigurationVersion {
  readonly generation: number;
  readonly shortDigest: number;
}

/** The most recent freshness proof of this daemon. */
export class Freshness {
  private provenAt: Moment | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly configuration: ConfigurationVersion,
  ) {}

  /** The present moment; take it before a read begins or a request is sent. */
  moment(): Moment {
    return { monotonic: this.clock.now(), date: this.clock.date().getTime() };
  }

  /** Age of the proof, ms: how long ago the active configuration was known to be the newest. Infinite without a proof. */
  get ageMs(): number {
    return this.provenAt ? this.elapsedMs(this.provenAt) : Number.POSITIVE_INFINITY;
  }

  /** A read of the platform that began at `readStartedAt` found nothing newer than the active configuration. */
  confirm(readStartedAt: Moment): void {
    if (this.configuration.generation > 0) this.keepIfNewer(readStartedAt);
  }

  /**
   * Receives a peer's proof in the response to a request that was sent at `requestedAt`. It is ignored if its version is newer than the active
   * one, or has other content under the same generation.
   */
  receiveProof({ generation, shortDigest, ageMs }: FreshnessProof, requestedAt: Moment): void {
    const { configuration } = this;
    const hasOtherContent =
      generation === configuration.generation && shortDigest !== configuration.shortDigest;
    const isUsable = generation > 0 && generation <= configuration.generation && !hasOtherContent;
    if (!isUsable || !(ageMs >= 0)) return;
    this.keepIfNewer({ monotonic: requestedAt.monotonic - ageMs, date: requestedAt.date - ageMs });
  }

  private keepIfNewer(moment: Moment): void {
    if (this.elapsedMs(moment) < this.ageMs) this.provenAt = moment;
  }

  /**
   * The larger of the times elapsed by the two clocks: on most systems the monotonic clock stops while the VM is suspended, and the wall
   * clock may be set back. If it is set forward, proofs count as too old until the next one.
   */
  private elapsedMs({ monotonic, date }: Moment): number {
    return Math.max(this.clock.now() - monotonic, this.clock.date().getTime() - date);
  }
}

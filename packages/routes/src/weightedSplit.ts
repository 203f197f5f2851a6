/** Shares requests over services by weight. */
import { type Random } from '@cleatquay/clock';

/** One share of a route. */
export interface RoutePart {
  readonly service: string;
  readonly weight: number;
}

interface Share extends RoutePart {
  /** How far the share is behind what it is due, in units of weight. */
  due: number;
}

/**
 * Smooth weighted round robin: after any number of requests each share is within one request of what it is due. Starts
 * at a random place, so that many daemons with few requests each keep the weights together.
 */
export class WeightedSplit {
  private readonly shares: Share[];
  private readonly total: number;

  constructor(
    readonly parts: readonly RoutePart[],
    random: Random,
  ) {
    this.total = parts.reduce((sum, { weight }) => sum + weight, 0);
    this.shares = parts.map(part => ({ ...part, due: 0 }));
    const skipped = Math.floor(random() * this.total);
    if (parts.length > 1) for (let i = 0; i < Math.min(skipped, 1000); i++) this.next();
  }

  /** The service of the next request; undefined if nothing has weight. */
  next(): string | undefined {
    if (this.shares.length === 1) return this.shares[0]?.service;
    let best: Share | undefined;
    for (const share of this.shares) {
      if (share.weight <= 0) continue;
      share.due += share.weight;
      if (!best || share.due > best.due) best = share;
    }
    if (best) best.due -= this.total;
    return best?.service;
  }

  /** Whether it shares requests just so. */
  fits(parts: readonly RoutePart[]): boolean {
    return (
      parts.length === this.parts.length &&
      parts.every((p, i) => p.service === this.parts[i]?.service && p.weight === this.parts[i]?.weight)
    );
  }
}

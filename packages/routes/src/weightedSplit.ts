/** Splits requests among services by weight. */
import { type Random } from '@cleatquay/clock';

/** One service of a split, with its weight. */
export interface RoutePart {
  readonly service: string;
  readonly weight: number;
}

interface WeightedPart extends RoutePart {
  /** How far the service is behind its proportion of the requests, in units of weight. */
  deficit: number;
}

/**
 * Smooth weighted round robin: after any number of requests, each service is within one request of its exact ratio. Starts
 * at a random position, so that many daemons with few requests each keep the ratios in total.
 */
export class WeightedSplit {
  private readonly weightedParts: WeightedPart[];
  private readonly totalWeight: number;

  constructor(
    readonly parts: readonly RoutePart[],
    random: Random,
  ) {
    this.totalWeight = parts.reduce((sum, { weight }) => sum + weight, 0);
    this.weightedParts = parts.map(part => ({ ...part, deficit: 0 }));
    const skipped = Math.floor(random() * this.totalWeight);
    if (parts.length > 1) for (let i = 0; i < Math.min(skipped, 1000); i++) this.next();
  }

  /** Selects the service for the next request; undefined if no service has a positive weight. */
  next(): string | undefined {
    if (this.weightedParts.length === 1) return this.weightedParts[0]?.service;
    let best: WeightedPart | undefined;
    for (const part of this.weightedParts) {
      if (part.weight <= 0) continue;
      part.deficit += part.weight;
      if (!best || part.deficit > best.deficit) best = part;
    }
    if (best) best.deficit -= this.totalWeight;
    return best?.service;
  }

  /** Whether services and weights are the same as `parts`. */
  hasParts(parts: readonly RoutePart[]): boolean {
    return (
      parts.length === this.parts.length &&
      parts.every((p, i) => p.service === this.parts[i]?.service && p.weight === this.parts[i]?.weight)
    );
  }
}

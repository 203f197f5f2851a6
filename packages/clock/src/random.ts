/** Random numbers, reproducible from a seed. */
import seedrandom from 'seedrandom';

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Creates a generator with the same sequence for the same seed; unpredictable without a seed. */
export function seededRandom(seed?: string | number): Random {
  const generator = seed === undefined ? seedrandom() : seedrandom(String(seed));
  return () => generator();
}

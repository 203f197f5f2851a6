/** Random numbers that can be replayed from a seed. */
import seedrandom from 'seedrandom';

/** Gives a number in [0, 1). */
export type Random = () => number;

/** A generator that repeats its sequence for the same seed; without one it is unpredictable. */
export function seededRandom(seed?: string | number): Random {
  const generator = seed === undefined ? seedrandom() : seedrandom(String(seed));
  return () => generator();
}

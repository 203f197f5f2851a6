/** Runs before all tests: seeds the property-based tests and prints the seed, so that every run is reproducible. */
import fc from 'fast-check';

const seed = Number(process.env.CLEATQUAY_SEED ?? 1);
fc.configureGlobal({ seed });
process.stdout.write(`Seed of property-based tests: ${String(seed)} (CLEATQUAY_SEED)\n`);

/** Run before all tests: properties repeat from a printed seed, so that every run gives the same verdict. */
import fc from 'fast-check';

const seed = Number(process.env.CLEATQUAY_SEED ?? 1);
fc.configureGlobal({ seed });
process.stdout.write(`Seed of properties: ${String(seed)} (CLEATQUAY_SEED)\n`);

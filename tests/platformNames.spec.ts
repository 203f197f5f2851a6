import { expect } from 'chai';
import { readFileSync, readdirSync } from 'node:fs';

/** Headers, calls, fields and values that are specific to the platform. */
const PLATFORM_NAMES = [
  'Server-Stamp',
  'Not-Executed',
  'Expect-Instance',
  'Caller-Service',
  'Deadline-Ms',
  'Request-Id',
  'rows-tx',
  'rows-feed',
  'rows-get',
  'rowVersion',
  'warmupLeftS',
  'trafficSplit',
  'targetLatencyS',
  'non_idempotent',
  'CLEATQUAY_SETTINGS',
  '/cleatquay/readiness',
  '/cleatquay/instances',
];

/** The stand-ins of the platform use its names, too. */
const STANDINS_FOLDER = 'packages/standins/src/platform/';

function sourceFiles(): string[] {
  const files = readdirSync('packages', { recursive: true, encoding: 'utf8' }).map(
    file => `packages/${file}`,
  );
  return files.filter(
    file => file.endsWith('.ts') && file.includes('/src/') && !file.includes('node_modules'),
  );
}

describe('names of the platform', () => {
  it('occur in its adapter only', () => {
    const found = sourceFiles()
      .filter(file => !file.startsWith(STANDINS_FOLDER))
      .flatMap(file => {
        const text = readFileSync(file, 'utf8');
        const quoted = PLATFORM_NAMES.filter(name => new RegExp(`['"\`/ ]${name}['"\`/?]`, 'i').test(text));
        return quoted.map(name => `${file}: ${name}`);
      });
    expect(sourceFiles().length).to.be.greaterThan(50);
    expect(found).to.deep.equal([]);
  });
});

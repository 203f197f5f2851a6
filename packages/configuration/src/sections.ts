/** A configuration in sections, one per service, one per organisation and one for the rest, so that a small change is a small transfer. */
import { type OperatorFile, checkOperatorFile } from '@cleatquay/settings';
import { createHash } from 'node:crypto';

const GENERAL = 'general';
const SERVICE = 'service:';
const ORGANISATION = 'organisation:';

/** Hexadecimal digits of a digest: 64 bits, so that the odds of a collision are about one in 10^19. */
const DIGEST_DIGITS = 16;

/** JSON text by section name. */
export type Sections = ReadonlyMap<string, string>;

/** A section that differs between two configurations. */
export interface Change {
  readonly section: string;
  readonly kind: 'added' | 'removed' | 'changed';
}

/** Splits a file into sections. */
export function splitSections(file: OperatorFile): Sections {
  const { services, organisations, ...rest } = file;
  const general = { ...rest, ...(organisations && { organisations: {} }) };
  return new Map([
    [GENERAL, JSON.stringify(general)],
    ...sectionsOf(SERVICE, services),
    ...sectionsOf(ORGANISATION, organisations ?? {}),
  ]);
}

/** Joins sections into a file, and validates it. */
export function joinSections(sections: Sections): OperatorFile {
  const general = JSON.parse(sections.get(GENERAL) ?? '{}') as { organisations?: object };
  const organisations = general.organisations && partsOf(sections, ORGANISATION);
  const services = partsOf(sections, SERVICE);
  return checkOperatorFile({ ...general, ...(organisations && { organisations }), services });
}

function sectionsOf(prefix: string, parts: object): [string, string][] {
  return Object.entries(parts).map(([name, part]) => [prefix + name, JSON.stringify(part)]);
}

function partsOf(sections: Sections, prefix: string): Record<string, unknown> {
  const ofKind = [...sections].filter(([name]) => name.startsWith(prefix));
  return Object.fromEntries(
    ofKind.map(([name, content]) => [name.slice(prefix.length), JSON.parse(content) as unknown]),
  );
}

/** Digest of the content, independent of the order of the sections. */
export function digestOf(sections: Sections): string {
  const hash = createHash('sha256');
  for (const name of [...sections.keys()].sort()) {
    const content = sections.get(name) ?? '';
    hash.update(`${String(name.length)} ${String(content.length)} ${name}${content}`);
  }
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}

/** The changes from one configuration to another. */
export function differences(from: Sections, to: Sections): Change[] {
  const names = [...new Set([...from.keys(), ...to.keys()])].sort();
  return names.flatMap((section): Change[] => {
    if (from.get(section) === to.get(section)) return [];
    if (!from.has(section)) return [{ section, kind: 'added' }];
    return [{ section, kind: to.has(section) ? 'changed' : 'removed' }];
  });
}

/** A configuration in sections, one for each service and each organisation and one for the rest, so that small changes travel small. */
import { type OperatorFile, checkOperatorFile } from '@cleatquay/settings';
import { createHash } from 'node:crypto';

const GENERAL = 'general';
const SERVICE = 'service:';
const ORGANISATION = 'organisation:';

/** Hexadecimal digits of a digest: 64 bits, so that two contents share one by chance once in billions of billions. */
const DIGEST_DIGITS = 16;

/** JSON by section name. */
export type Sections = ReadonlyMap<string, string>;

/** One section that two configurations don't share. */
export interface Change {
  readonly section: string;
  readonly kind: 'added' | 'removed' | 'changed';
}

/** Takes a file apart. */
export function splitSections(file: OperatorFile): Sections {
  const { services, organisations, ...rest } = file;
  const general = { ...rest, ...(organisations && { organisations: {} }) };
  return new Map([
    [GENERAL, JSON.stringify(general)],
    ...sectionsOf(SERVICE, services),
    ...sectionsOf(ORGANISATION, organisations ?? {}),
  ]);
}

/** Puts a file together again and checks it. */
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

/** Names the content: equal sections in whatever order have the same digest, others have another one. */
export function digestOf(sections: Sections): string {
  const hash = createHash('sha256');
  for (const name of [...sections.keys()].sort()) {
    const content = sections.get(name) ?? '';
    hash.update(`${String(name.length)} ${String(content.length)} ${name}${content}`);
  }
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}

/** What changes on the way from one to the other. */
export function differences(from: Sections, to: Sections): Change[] {
  const names = [...new Set([...from.keys(), ...to.keys()])].sort();
  return names.flatMap((section): Change[] => {
    if (from.get(section) === to.get(section)) return [];
    if (!from.has(section)) return [{ section, kind: 'added' }];
    return [{ section, kind: to.has(section) ? 'changed' : 'removed' }];
  });
}

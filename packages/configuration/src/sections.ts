/** A configuration in sections, one for each service and one for the rest, so that small changes travel small. */
import { type OperatorFile, checkOperatorFile } from '@cleatquay/settings';

const GENERAL = 'general';
const SERVICE = 'service:';

/** JSON by section name. */
export type Sections = ReadonlyMap<string, string>;

/** One section that two configurations don't share. */
export interface Change {
  readonly section: string;
  readonly kind: 'added' | 'removed' | 'changed';
}

/** Takes a file apart. */
export function splitSections(file: OperatorFile): Sections {
  const { services, ...general } = file;
  const entries = Object.entries(services).map(
    ([name, service]) => [SERVICE + name, JSON.stringify(service)] as const,
  );
  return new Map([[GENERAL, JSON.stringify(general)], ...entries]);
}

/** Puts a file together again and checks it. */
export function joinSections(sections: Sections): OperatorFile {
  const services: Record<string, unknown> = {};
  for (const [name, content] of sections) {
    if (name.startsWith(SERVICE)) services[name.slice(SERVICE.length)] = JSON.parse(content);
  }
  const general = JSON.parse(sections.get(GENERAL) ?? '{}') as object;
  return checkOperatorFile({ ...general, services });
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

/** Lines that say which configuration a daemon has put in force, where it came from, what it changed, and whether a peer has another. */
import { type Adoption } from '@cleatquay/configuration';
import { type Logger } from 'pino';

/** Sections that a line names, at most: a change of hundreds is told by its number. */
const MOST_NAMED = 10;

/** Writes it. Two daemons whose lines have the same generation and different digests differ in content. */
export function logAdoption(log: Logger, adoption: Adoption): void {
  const { generation, digest, from, before, changes } = adoption;
  const named = changes.slice(0, MOST_NAMED).map(({ section, kind }) => `${section} ${kind}`);
  const facts = { generation, digest, from, before, changes: changes.length, named };
  log.info(facts, 'Configuration: A version is in force.');
}

/** A peer has another content under the generation in force here; the platform is read to tell which is right. */
export function logDoubt(
  log: Logger,
  { generation, digest }: { readonly generation: number; readonly digest: string },
  peer: string,
): void {
  log.warn({ generation, digest, peer }, 'Configuration: A peer has another content under this generation.');
}

/** A peer that said that it has a higher generation did not give it; at most four lines a second. */
export function logPeerFailure(log: Logger, peer: string, reason: string): void {
  log.info({ peer, reason }, 'Configuration: A peer did not give its version.');
}

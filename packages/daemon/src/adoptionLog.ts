/** Log lines on configurations: which version became active, what it changed, and where peers disagree with it. */
import { type Adoption } from '@cleatquay/configuration';
import { type Logger } from 'pino';
import { type PlatformContact } from './platformContact.js';

/** Sections listed by name in one line; of a larger change the line gives only the total. */
const MAX_NAMED_SECTIONS = 10;

/**
 * Logs a version that became active. Equal generations with different digests in the lines of two daemons mean different content.
 * `announcedForMs` is how long peers had announced it; undefined if the platform was first.
 */
export function logAdoption(
  log: Logger,
  adoption: Adoption,
  announcedForMs: number | undefined,
  platform?: PlatformContact['facts'],
): void {
  const { generation, digest, from, before, changes } = adoption;
  const named = changes.slice(0, MAX_NAMED_SECTIONS).map(({ section, kind }) => `${section} ${kind}`);
  const facts = {
    generation,
    digest,
    from,
    announcedForMs,
    platform,
    before,
    changes: changes.length,
    named,
  };
  log.info(facts, 'Configuration: A version became active.');
}

/** Logs that a peer has announced a newer version than all that are known here. */
export function logAnnouncement(
  log: Logger,
  announcement: { readonly generation: number; readonly active: number; readonly peer: string },
  platform: PlatformContact['facts'],
): void {
  log.info({ ...announcement, platform }, 'Configuration: A peer announced a newer version.');
}

/** Logs that a peer has different content for the active generation. The platform is then read to find out which is right. */
export function logDigestMismatch(
  log: Logger,
  { generation, digest }: { readonly generation: number; readonly digest: string },
  peer: string,
): void {
  log.warn({ generation, digest, peer }, 'Configuration: A peer has different content for this generation.');
}

/**
 * Logs that a peer reported a higher generation but did not deliver it. Peers are queried one after the other, so that unresponsive ones cause
 * at most four lines a second.
 */
export function logPeerFetchFailure(log: Logger, peer: string, reason: string): void {
  log.info({ peer, reason }, 'Configuration: Fetching a version from a peer failed.');
}

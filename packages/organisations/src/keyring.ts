/** Finds the organisation that holds a key. */
import { type Organisation } from './organisation.js';

/** The keys of one version of the configuration. */
export class Keyring {
  private readonly byDigest = new Map<string, Organisation>();

  constructor(readonly organisations: readonly Organisation[]) {
    for (const organisation of organisations)
      for (const digest of organisation.keyDigests) this.byDigest.set(digest, organisation);
  }

  /** Undefined for a key that nobody holds. */
  holderOf(keyDigest: string): Organisation | undefined {
    return this.byDigest.get(keyDigest);
  }
}

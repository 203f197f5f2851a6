/** Finds the organisation that holds a key. */
import { type Organisation } from './organisation.js';

/** The keys of one version of the configuration. */
export class Keyring {
  private readonly byDigest = new Map<string, Organisation>();
  private readonly byName = new Map<string, Organisation>();

  constructor(readonly organisations: readonly Organisation[]) {
    for (const organisation of organisations) {
      this.byName.set(organisation.name, organisation);
      for (const digest of organisation.keyDigests) this.byDigest.set(digest, organisation);
    }
  }

  /** The ranks of those that have one. */
  get ranks(): number[] {
    return this.organisations.flatMap(({ rank }) => rank ?? []);
  }

  /** Undefined for one that there is not. */
  get(name: string): Organisation | undefined {
    return this.byName.get(name);
  }

  /** Undefined for a key that nobody holds. */
  holderOf(keyDigest: string): Organisation | undefined {
    return this.byDigest.get(keyDigest);
  }
}

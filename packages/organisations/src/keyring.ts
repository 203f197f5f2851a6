/** Maps API keys to organisations. */
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

  /** The ranks that organisations declare. */
  get ranks(): number[] {
    return this.organisations.flatMap(({ rank }) => rank ?? []);
  }

  /** Undefined if there is no such organisation. */
  get(name: string): Organisation | undefined {
    return this.byName.get(name);
  }

  /** Undefined if no organisation has the key. */
  organisationOf(keyDigest: string): Organisation | undefined {
    return this.byDigest.get(keyDigest);
  }
}

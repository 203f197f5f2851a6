/** Authenticates requests: finds the organisation of a request by its key, or why it is refused. */
import { type Random } from '@cleatquay/clock';
import { type Credentials, type Keyring, type Organisation } from '@cleatquay/organisations';
import { type Refusal, createRefusal } from '@cleatquay/protocol';

/** Freshness proofs arrive several times a second while the platform, or a peer that can reach it, is reachable; network partitions last seconds. */
const REVOCATIONS_UNPROVEN_RETRY_AFTER_MS = 1000;

/** The inputs of the authentication of a request. */
export interface AuthenticationRequest {
  readonly credentials: Credentials;
  /** The keys of the configuration; undefined if requests need no key. */
  readonly keyring: Keyring | undefined;
  /** Whether the route needs no key. */
  readonly isPublic: boolean;
  /** Whether it is a call that an upstream makes for a request that runs there. */
  readonly isCall: boolean;
}

/** The authenticated party; without an organisation if the request needs no key. */
export interface Principal {
  readonly organisation: Organisation | undefined;
}

/** Dependencies on the daemon. */
export interface AuthenticatorOptions {
  readonly random: Random;
  /** Whether the active configuration is known to hold no key that has been revoked. */
  readonly areRevocationsCurrent: () => boolean;
}

const ANONYMOUS: Principal = { organisation: undefined };

/** Authenticates requests by their keys. */
export class Authenticator {
  constructor(private readonly options: AuthenticatorOptions) {}

  /**
   * A call of an upstream needs no key: the request that makes it was authenticated where its route requires that. A key that is
   * presented has to be valid, even where none is needed.
   *
   * Revocations are checked once, at the ingress: the request was sent before that, so that it is within the bound for revocations however long it
   * waits afterwards. While revocations are not known to be current, an unknown key may be a new one, so that it is not refused as unknown.
   */
  authenticate({ credentials, keyring, isPublic, isCall }: AuthenticationRequest): Principal | Refusal {
    if (!keyring) return ANONYMOUS;
    if (typeof credentials === 'string') {
      if (isPublic || (credentials === 'none' && isCall)) return ANONYMOUS;
      const found = credentials === 'none' ? 'none' : 'something else';
      return createRefusal('keyMissing', `Expected one key, found ${found}.`);
    }
    if (!this.options.areRevocationsCurrent()) return this.revocationsUnproven();
    const organisation = keyring.organisationOf(credentials.keyDigest);
    return organisation ? { organisation } : createRefusal('keyUnknown', 'No organisation holds the key.');
  }

  private revocationsUnproven(): Refusal {
    const message = 'This daemon has received no current list of revoked keys for too long.';
    const retryAfterMs = Math.round(REVOCATIONS_UNPROVEN_RETRY_AFTER_MS * (0.5 + this.options.random()));
    return createRefusal('keysUnproven', message, { retryAfterMs });
  }
}

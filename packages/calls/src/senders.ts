/** Decides whose a request is, or why it can't be taken. */
import { type Random } from '@cleatquay/clock';
import { type Credentials, type Keyring, type Organisation } from '@cleatquay/organisations';
import { type Refusal, refusalOf } from '@cleatquay/protocol';

/** Proofs come several times a second where the platform or a peer that reaches it can be reached; cuts last seconds. */
const REVOCATIONS_UNPROVEN_RETRY_AFTER_MS = 1000;

/** What the decision rests on. */
export interface AuthenticationRequest {
  readonly credentials: Credentials;
  /** The keys of the configuration; undefined where requests need none. */
  readonly keyring: Keyring | undefined;
  /** Whether its route needs no key. */
  readonly isPublic: boolean;
  /** Whether it is a call of an upstream, for a request that runs there. */
  readonly isCall: boolean;
}

/** Whose a request is; no organisation's if it needs no key. */
export interface Principal {
  readonly organisation: Organisation | undefined;
}

/** What it needs of its daemon. */
export interface SendersOptions {
  readonly random: Random;
  /** Whether it is known that no key was taken away that the configuration in force still has. */
  readonly areKeysProven: () => boolean;
}

const ANONYMOUS: Principal = { organisation: undefined };

/** Finds senders by their keys. */
export class Senders {
  constructor(private readonly options: SendersOptions) {}

  /**
   * A call of an upstream bears no key: it is part of a request that did. A key that is shown has to be good, also where none is needed.
   *
   * That keys are proven is asked once, when the request enters: it was sent before, so that it is within the bound however long it waits from then on.
   * Before it is known, an unknown key may be a new one.
   */
  of({ credentials, keyring, isPublic, isCall }: AuthenticationRequest): Principal | Refusal {
    if (!keyring) return ANONYMOUS;
    if (typeof credentials === 'string') {
      if (isPublic || (credentials === 'none' && isCall)) return ANONYMOUS;
      const found = credentials === 'none' ? 'none' : 'something else';
      return refusalOf('keyMissing', `Expected one key, found ${found}.`);
    }
    if (!this.options.areKeysProven()) return this.revocationsUnproven();
    const organisation = keyring.holderOf(credentials.keyDigest);
    return organisation ? { organisation } : refusalOf('keyUnknown', 'No organisation holds the key.');
  }

  private revocationsUnproven(): Refusal {
    const message = 'This daemon has not heard for too long which keys were taken away.';
    const retryAfterMs = Math.round(REVOCATIONS_UNPROVEN_RETRY_AFTER_MS * (0.5 + this.options.random()));
    return refusalOf('keysUnproven', message, { retryAfterMs });
  }
}

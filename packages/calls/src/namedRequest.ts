/** A request with the fingerprint that it is known by, which is made only when somebody needs it. */
import { type Quarantine, fingerprintOf } from '@cleatquay/quarantine';
import { type RequestHead } from '@cleatquay/protocol';
import { type ReplayBody } from './replayBody.js';

/** One request at the daemon where it entered, once the beginning of its body has been read. */
export class NamedRequest {
  private made: string | undefined;

  constructor(
    private readonly head: RequestHead,
    private readonly body: ReplayBody,
  ) {}

  /** Of the head and of what was read of the body. */
  get fingerprint(): string {
    return (this.made ??= fingerprintOf(this.head, this.body.beginning));
  }

  /**
   * What the next daemon is told of it: it makes that of a short body itself, and of a longer one it has only a stream. Empty for a short one
   * whose fingerprint nobody has needed yet.
   */
  get knownFingerprint(): string {
    return this.made ?? (this.body.atHand ? '' : this.fingerprint);
  }

  /** An upstream gave a whole answer to it. */
  answered(quarantine: Quarantine): void {
    quarantine.answered(this.head, this.body.beginning, () => this.fingerprint);
  }
}

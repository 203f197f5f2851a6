/** A request with the fingerprint that it is known by, which is made only when somebody needs it. */
import { type Quarantine, type SuspectRequest, fingerprintOf } from '@cleatquay/quarantine';
import { type RequestHead } from '@cleatquay/protocol';
import { type ReplayBody } from './replayBody.js';

const NO_FINGERPRINT = { fingerprint: '', endedStarts: [] };

/** One request at the daemon where it entered, once the beginning of its body has been read. */
export class FingerprintedRequest {
  private cachedFingerprint: string | undefined;

  constructor(
    private readonly head: RequestHead,
    private readonly body: ReplayBody,
  ) {}

  /** Of the head and of what was read of the body. */
  get fingerprint(): string {
    return (this.cachedFingerprint ??= fingerprintOf(this.head, this.body.beginning));
  }

  /**
   * What the next daemon is told of it: nothing as a rule, since that one makes the fingerprint of a short body itself, if it needs it. Of a longer one
   * it has only a stream. Of a suspect, word of an end may be on its way still when the request goes on to another upstream.
   */
  headFields(quarantine: Quarantine): Pick<RequestHead, 'fingerprint' | 'endedStarts'> {
    const endedStarts = quarantine.isEmpty ? [] : quarantine.startsUnder(this.fingerprint);
    if (endedStarts.length === 0 && this.body.atHand) return NO_FINGERPRINT;
    return { fingerprint: this.fingerprint, endedStarts };
  }

  /** As it is told where an upstream ended under it. */
  get suspect(): SuspectRequest {
    const { method, path } = this.head;
    return { method, path, fingerprint: this.fingerprint };
  }

  /** An upstream gave a whole answer to it. */
  recordResponse(quarantine: Quarantine): void {
    quarantine.answered(this.head, this.body.beginning, () => this.fingerprint);
  }
}

/** A request with its fingerprint, which is computed only when it is needed. */
import { type Quarantine, type SuspectRequest, fingerprintOf } from '@cleatquay/quarantine';
import { type RequestHead } from '@cleatquay/protocol';
import { type RequestBody } from './requestBody.js';

const NO_BYTES = Buffer.alloc(0);
const NO_FINGERPRINT = { fingerprint: '', endedStarts: [] };

/** A request at its ingress daemon, after the beginning of its body has been read; that of an upload is only read while there are suspects. */
export class FingerprintedRequest {
  private cachedFingerprint: string | undefined;

  constructor(
    private readonly head: RequestHead,
    private readonly body: RequestBody,
  ) {}

  /** The fingerprint of the head and of the beginning of the body. */
  get fingerprint(): string {
    return (this.cachedFingerprint ??= fingerprintOf(this.head, this.body.bufferedStart ?? NO_BYTES));
  }

  /**
   * The fields that are sent to the next daemon. They are usually empty, since that daemon can compute the fingerprint of a short body itself; of a
   * longer body it has only a stream. The crashes of a suspect are sent along, since the report of a crash may still be in transit when the request
   * is sent to another upstream.
   */
  headFields(quarantine: Quarantine): Pick<RequestHead, 'fingerprint' | 'endedStarts'> {
    const endedStarts = quarantine.isEmpty ? [] : quarantine.crashedUnder(this.fingerprint);
    if (endedStarts.length === 0 && (this.body.completeBody || !this.hasFingerprint)) return NO_FINGERPRINT;
    return { fingerprint: this.fingerprint, endedStarts };
  }

  /** Whether the bytes that enter the fingerprint are known. The daemon of the upstream fingerprints uploads of which they are not. */
  private get hasFingerprint(): boolean {
    return this.cachedFingerprint !== undefined || this.body.bufferedStart !== undefined;
  }

  /** Records the crash of an upstream that ran it, as reported by the daemon of that upstream. */
  recordCrash(quarantine: Quarantine, start: string): void {
    if (start !== '' && this.hasFingerprint) quarantine.recordRemoteCrash(this.suspect, start);
  }

  /** The request as it is reported when an upstream crashes under it. */
  private get suspect(): SuspectRequest {
    const { method, path } = this.head;
    return { method, path, fingerprint: this.fingerprint };
  }

  /** Records that an upstream sent a complete response to it. */
  recordResponse(quarantine: Quarantine): void {
    const { bufferedStart } = this.body;
    if (bufferedStart) quarantine.recordResponse(this.head, bufferedStart, () => this.fingerprint);
  }
}

/** Memory of one daemon for the bodies of uploads, divided among all uploads that pass through it. */

/**
 * Leaves a daemon, which needs some 100 MB otherwise, below 128 MB. Suffices for fifty uploads that enter at the daemon of their own upstream:
 * each takes `INGRESS_UPLOAD_BYTES` and `UPSTREAM_UPLOAD_BYTES`.
 */
export const UPLOAD_BUDGET_BYTES = 16 * 1_048_576;
/** At the ingress: one part that is read ahead, and one that is being sent. */
export const INGRESS_UPLOAD_BYTES = 128 * 1024;
/** At the daemon of the upstream: one part each in the link's queue, in the stream, and in the socket's buffer. */
export const UPSTREAM_UPLOAD_BYTES = 192 * 1024;
/** Above this utilisation, parts that were sent are not kept for replay, so that new uploads find memory. */
const MAX_REPLAY_UTILISATION = 0.5;

/** Body bytes after which the buffers of bodies that were sent are checked. */
const COLLECTION_INTERVAL_BYTES = 1_048_576;

/** The memory of one upload. */
export class UploadReservation implements Disposable {
  private isReleased = false;

  constructor(
    private readonly budget: UploadBudget,
    private bytes: number,
  ) {}

  /** Adds memory for bytes that are kept for replay; returns false if there is none, or if the upload has ended. */
  grow(bytes: number): boolean {
    if (this.isReleased || !this.budget.takeForReplay(bytes)) return false;
    this.bytes += bytes;
    return true;
  }

  /** Counts bytes of the upload's body. */
  countReceived(bytes: number): void {
    this.budget.countReceived(bytes);
  }

  /** Returns memory that was added. */
  shrink(bytes: number): void {
    if (this.isReleased) return;
    this.bytes -= bytes;
    this.budget.give(bytes);
  }

  /** Returns all memory; only the first call has an effect. */
  [Symbol.dispose](): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.budget.end(this.bytes);
  }
}

/** The memory for uploads of one daemon, as ingress and as the daemon of an upstream. */
export class UploadBudget {
  readonly counts = { refused: 0, brokenOff: 0 };
  private usedBytes = 0;
  private activeUploads = 0;
  private uncollectedBytes = 0;

  constructor(
    private readonly maxBytes: number,
    /** Called for each upload that gets no memory. */
    private readonly onRefusal: (facts: { uploads: number; bytes: number }) => void = () => undefined,
    /** Frees the buffers of bodies that were sent, if they take much memory. */
    private readonly collect: () => void = () => undefined,
  ) {}

  /** Bytes that uploads in progress occupy at most. */
  get bytes(): number {
    return this.usedBytes;
  }

  /** Uploads in progress; one whose upstream is on the VM of its ingress counts twice. */
  get uploads(): number {
    return this.activeUploads;
  }

  /** Reserves the memory of an upload; returns undefined if it does not fit. */
  reserve(bytes: number): UploadReservation | undefined {
    if (this.usedBytes + bytes > this.maxBytes) {
      this.counts.refused++;
      this.onRefusal({ uploads: this.activeUploads, bytes: this.usedBytes });
      return undefined;
    }
    this.usedBytes += bytes;
    this.activeUploads++;
    return new UploadReservation(this, bytes);
  }

  /** Counts bytes of bodies, of which each leaves several buffers behind. */
  countReceived(bytes: number): void {
    this.uncollectedBytes += bytes;
    if (this.uncollectedBytes < COLLECTION_INTERVAL_BYTES) return;
    this.uncollectedBytes = 0;
    this.collect();
  }

  /** For reservations: takes memory that is not necessary for streaming. */
  takeForReplay(bytes: number): boolean {
    if (this.usedBytes + bytes > this.maxBytes * MAX_REPLAY_UTILISATION) return false;
    this.usedBytes += bytes;
    return true;
  }

  /** For reservations: returns memory. */
  give(bytes: number): void {
    this.usedBytes -= bytes;
  }

  /** For reservations: returns the memory of an upload that has ended. */
  end(bytes: number): void {
    this.usedBytes -= bytes;
    this.activeUploads--;
  }
}

/** What the forwarder needs of a request body, and the source of an upload. */
import { type CallBody } from './callHandler.js';

/** A request body at its ingress. */
export interface RequestBody {
  /** Whether the body can still be read from its beginning. */
  readonly isReplayable: boolean;
  /** The complete body if it has been received already. */
  readonly completeBody: Buffer | undefined;
  /** The complete body, or its buffered beginning; undefined if the beginning is not buffered. */
  readonly bufferedStart: Buffer | undefined;
  /** Buffers the beginning. An upload is only buffered if `needsStart`. */
  prefetch(needsStart: boolean): Promise<void>;
  /** The body from its beginning, for one attempt; an earlier attempt must have ended. */
  read(): Promise<CallBody>;
}

/** A body that the caller is still sending. */
export interface UploadSource {
  /** The next bytes; undefined at the end of a complete body. Rejects with a numbered failure if the body breaks off. */
  next(): Promise<Uint8Array | undefined>;
  /** Calls `listener` once the caller's request has ended, or at once if it has. */
  whenClosed(listener: () => void): void;
}

/** A body that can be read as an upload, which is not taken from the caller before it is read. */
export interface UploadableBody extends AsyncIterable<Uint8Array> {
  openUpload(): UploadSource;
}

/** The source of an upload's body. */
export function uploadSourceOf(body: AsyncIterable<Uint8Array>): UploadSource {
  if ('openUpload' in body) return (body as UploadableBody).openUpload();
  const iterator = body[Symbol.asyncIterator]();
  return {
    next: async () => {
      const { value, done } = await iterator.next();
      return done === true ? undefined : value;
    },
    whenClosed: () => undefined,
  };
}

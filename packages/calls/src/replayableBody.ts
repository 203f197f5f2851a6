/** A request body that can be sent several times if it is small. */
import { type CallBody } from './callHandler.js';
import { ChunkSource } from './chunkSource.js';
import { type RequestBody } from './requestBody.js';

const MAX_REPLAYABLE_BYTES = 65_536;

/** Reads its source once and buffers the beginning. */
export class ReplayableBody implements RequestBody {
  private readonly buffered: Uint8Array[] = [];
  private bufferedBytes = 0;
  private isEnded = false;
  private isStreaming = false;
  private readonly source: ChunkSource | undefined;
  private completeBytes: Buffer | undefined;

  constructor(source: CallBody) {
    if (Buffer.isBuffer(source)) this.completeBytes = source;
    else this.source = new ChunkSource(source);
  }

  /** Whether the body can still be read from its beginning: a streamed one can't once its stream has started. */
  get isReplayable(): boolean {
    return !this.isStreaming;
  }

  /** The complete body if it has been received already; most bodies are empty and need no waiting. */
  get completeBody(): Buffer | undefined {
    return this.completeBytes;
  }

  /** The complete body, or the buffered beginning of one that is streamed. */
  get bufferedStart(): Buffer {
    return this.completeBytes ?? Buffer.concat(this.buffered);
  }

  /** Buffers the body up to the limit. */
  async prefetch(): Promise<void> {
    if (!this.source || this.completeBytes) return;
    while (!this.isEnded && this.bufferedBytes < MAX_REPLAYABLE_BYTES) {
      const { value, done } = await this.source.next();
      if (done === true) this.isEnded = true;
      else this.buffer(value);
    }
    if (this.isEnded) this.completeBytes = Buffer.concat(this.buffered);
  }

  /** The complete body, from its beginning. */
  async read(): Promise<CallBody> {
    await this.prefetch();
    return this.completeBytes ?? this.stream();
  }

  private async *stream(): AsyncIterable<Uint8Array> {
    if (this.isStreaming || !this.source)
      throw new Error('The body has already been streamed and cannot be read again.');
    this.isStreaming = true;
    yield* this.buffered;
    for (let next = await this.source.next(); next.done !== true; next = await this.source.next())
      yield next.value;
  }

  private buffer(chunk: Uint8Array): void {
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
  }
}

/** The chunks of a body whose failure is final. */

/** A generator that has thrown reports its end to the next reader, for whom a body that broke off would look complete. */
export class ChunkSource {
  private readonly chunks: AsyncIterator<Uint8Array>;
  private failure: { readonly error: unknown } | undefined;

  constructor(source: AsyncIterable<Uint8Array>) {
    this.chunks = source[Symbol.asyncIterator]();
  }

  /** The next chunk, or the end of a complete body. Rejects at each call once the body has failed. */
  async next(): Promise<IteratorResult<Uint8Array>> {
    try {
      const next = await this.chunks.next();
      if (this.failure) throw this.failure.error;
      return next;
    } catch (error) {
      this.failure ??= { error };
      throw this.failure.error;
    }
  }
}

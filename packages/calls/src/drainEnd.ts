/** The moment at which a daemon that shuts down stops waiting for requests in flight. */

/** Tells the requests in flight that the connections of their callers are closed next. */
export class DrainEnd {
  private readonly listeners = new Set<() => void>();

  /** Calls back once at the end of the drain; the returned function stops that. */
  whenReached(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  reach(): void {
    const listeners = [...this.listeners];
    this.listeners.clear();
    for (const listener of listeners) listener();
  }
}

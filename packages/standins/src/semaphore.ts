/** A counting semaphore with FIFO order whose waiters can be aborted. */
export class Semaphore {
  private inUse = 0;
  private readonly queue: (() => void)[] = [];

  constructor(private readonly size: () => number) {}

  /** Number of permits in use. */
  get running(): number {
    return this.inUse;
  }

  /** Number of waiters. */
  get waiting(): number {
    return this.queue.length;
  }

  /** Resolves true with a permit, or false if `signal` is aborted first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.inUse < this.size()) {
      this.inUse++;
      return true;
    }
    return new Promise(resolve => {
      const granted = () => resolve(true);
      this.queue.push(granted);
      signal.addEventListener('abort', () => {
        const index = this.queue.indexOf(granted);
        if (index < 0) return;
        this.queue.splice(index, 1);
        resolve(false);
      });
    });
  }

  /** Returns a permit, to the first waiter if there is one. */
  release(): void {
    const next = this.queue.shift();
    if (next) next();
    else this.inUse--;
  }
}

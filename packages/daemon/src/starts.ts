/**
 * Starts of upstreams to keep in mind. An upstream may be started again under the id that it had; it then knows nothing of before, so that what
 * was said of an earlier start doesn't hold for it, and what the earlier one said arrives late.
 */
import { type Departure } from '@cleatquay/membership';

/** Instances that are kept in mind: more than one VM sees in the minutes for which a word may be late. */
const MOST_INSTANCES = 100;

/** The latest start of each instance. */
export class Starts {
  private readonly bornOf = new Map<string, number>();

  /** Keeps a start in mind; the instance that was added first makes room. An upstream without an id can't be told apart. */
  add({ instanceId, born }: Departure): void {
    if (instanceId === '') return;
    this.bornOf.set(instanceId, Math.max(born, this.latest(instanceId)));
    const [oldest] = this.bornOf.keys();
    if (this.bornOf.size > MOST_INSTANCES && oldest !== undefined) this.bornOf.delete(oldest);
  }

  /** Whether this start, or a later one of the same instance, was added. */
  has({ instanceId, born }: Departure): boolean {
    return (this.bornOf.get(instanceId) ?? Number.NEGATIVE_INFINITY) >= born;
  }

  /** Whether a later start of the same instance was added. */
  hasLater({ instanceId, born }: Departure): boolean {
    return this.latest(instanceId) > born;
  }

  /** When the latest start that was added was, Unix ms; 0 if there is none. */
  latest(instanceId: string): number {
    return this.bornOf.get(instanceId) ?? 0;
  }

  /** All of them. */
  get all(): Departure[] {
    return [...this.bornOf].map(([instanceId, born]) => ({ instanceId, born }));
  }
}

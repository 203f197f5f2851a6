/**
 * Remembers starts of upstreams. A start is one process lifetime of an upstream instance, identified by the instance id
 * and its start time. A restarted upstream may have the id that it had before. It knows nothing of its earlier start: what
 * was reported of the earlier one doesn't apply to it, and messages of the earlier one may still arrive late.
 */
import { type Departure } from '@cleatquay/membership';

/** Number of instances remembered. One VM sees fewer in the minutes by which a message may be delayed. */
const MAX_INSTANCES = 100;

/** The latest start of each instance that was added. */
export class InstanceStarts {
  private readonly bornByInstance = new Map<string, number>();

  /** Adds a start, and evicts the instance that was added first if there are too many. Ignores upstreams without an id. */
  add({ instanceId, born }: Departure): void {
    if (instanceId === '') return;
    this.bornByInstance.set(instanceId, Math.max(born, this.latest(instanceId)));
    const [oldest] = this.bornByInstance.keys();
    if (this.bornByInstance.size > MAX_INSTANCES && oldest !== undefined) this.bornByInstance.delete(oldest);
  }

  /** Whether this start, or a later one of the same instance, was added. */
  has({ instanceId, born }: Departure): boolean {
    return (this.bornByInstance.get(instanceId) ?? Number.NEGATIVE_INFINITY) >= born;
  }

  /** Whether a later start of the same instance was added. */
  hasLater({ instanceId, born }: Departure): boolean {
    return this.latest(instanceId) > born;
  }

  /** Start time of the latest start that was added for an instance, Unix ms; 0 if there is none. */
  latest(instanceId: string): number {
    return this.bornByInstance.get(instanceId) ?? 0;
  }

  /** The latest start of each instance. */
  get all(): Departure[] {
    return [...this.bornByInstance].map(([instanceId, born]) => ({ instanceId, born }));
  }
}

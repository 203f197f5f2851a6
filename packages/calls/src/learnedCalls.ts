/** The calls that each route makes, learned from observed calls where no configuration declares them. */
import { type Clock } from '@cleatquay/clock';
import { type CallRoute } from './callHandler.js';

/** A call that has not been observed for this long is no longer expected; longer than any gap in a route's traffic. */
const CALL_LIFETIME_MS = 30_000;

/** The target of a call. */
export type CalledRoute = Pick<CallRoute, 'name' | 'service'>;

/** Observed calls by the route of the request that made them. */
export class LearnedCalls {
  private readonly byParent = new Map<string, Map<string, { route: CalledRoute; seenAt: number }>>();

  constructor(private readonly clock: Clock) {}

  /** Records that a request of the route `parent` called a route. */
  record(parent: string, { name, service }: CalledRoute): void {
    let calls = this.byParent.get(parent);
    if (!calls) this.byParent.set(parent, (calls = new Map()));
    const key = `${name} ${service}`;
    const existing = calls.get(key);
    if (existing) existing.seenAt = this.clock.now();
    else calls.set(key, { route: { name, service }, seenAt: this.clock.now() });
  }

  /** The calls that a request of the route `parent` is expected to make. */
  expectedFrom(parent: string): readonly CalledRoute[] {
    const calls = this.byParent.get(parent);
    if (!calls) return [];
    const oldest = this.clock.now() - CALL_LIFETIME_MS;
    return [...calls.values()].filter(({ seenAt }) => seenAt >= oldest).map(({ route }) => route);
  }
}

/** Which calls the runs of a route make, learned from the calls themselves, where nobody declares them. */
import { type Clock } from '@cleatquay/clock';
import { type CallRoute } from './callHandler.js';

/** A call that was not seen for so long is not expected any more, ms: longer than any pause in a route's traffic. */
const CALL_LIFETIME_MS = 30_000;

/** What a call goes to. */
export type CalledRoute = Pick<CallRoute, 'name' | 'service'>;

/** Calls by the route of their parent. */
export class LearnedCalls {
  private readonly byParent = new Map<string, Map<string, { route: CalledRoute; seenAt: number }>>();

  constructor(private readonly clock: Clock) {}

  /** A run of `parent` called a route. */
  saw(parent: string, { name, service }: CalledRoute): void {
    let calls = this.byParent.get(parent);
    if (!calls) this.byParent.set(parent, (calls = new Map()));
    const key = `${name} ${service}`;
    const known = calls.get(key);
    if (known) known.seenAt = this.clock.now();
    else calls.set(key, { route: { name, service }, seenAt: this.clock.now() });
  }

  /** The calls to expect of a run of `parent`. */
  of(parent: string): readonly CalledRoute[] {
    const calls = this.byParent.get(parent);
    if (!calls) return [];
    const oldest = this.clock.now() - CALL_LIFETIME_MS;
    return [...calls.values()].filter(({ seenAt }) => seenAt >= oldest).map(({ route }) => route);
  }
}

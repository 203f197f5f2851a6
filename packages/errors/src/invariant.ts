/** Invariants that the program checks of itself while it runs. A broken one is counted and shown, never hidden. */

const MAX_KEPT_MESSAGES = 20;

/** What was found broken in this process. */
export const invariantViolations: { count: number; readonly latest: string[] } = { count: 0, latest: [] };

/** Notes a violation unless `holds`; the request that shows it goes on, so that nothing more is broken by the check. */
export function invariant(holds: boolean, message: string): void {
  if (holds) return;
  invariantViolations.count++;
  invariantViolations.latest.push(message);
  if (invariantViolations.latest.length > MAX_KEPT_MESSAGES) invariantViolations.latest.shift();
}

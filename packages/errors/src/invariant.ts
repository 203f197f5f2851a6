/** Runtime checks of invariants. Violations are counted and reported. */

const MAX_KEPT_MESSAGES = 20;

/** Violations in this process. */
export const invariantViolations: { count: number; readonly latest: string[] } = { count: 0, latest: [] };

/** Records a violation unless `holds`. Doesn't throw, so that the check doesn't fail the request that reveals it. */
export function invariant(holds: boolean, message: string): void {
  if (holds) return;
  invariantViolations.count++;
  invariantViolations.latest.push(message);
  if (invariantViolations.latest.length > MAX_KEPT_MESSAGES) invariantViolations.latest.shift();
}

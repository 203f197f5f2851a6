/** Tables for people, without colours. */
import Table from 'cli-table3';

/** Rows under a head. */
export function table(head: string[], rows: (string | number)[][]): string {
  const printed = new Table({ head, style: { head: [], border: [], compact: true } });
  printed.push(...rows);
  return printed.toString();
}

/** Plain-text tables for the terminal, without colours. */
import Table from 'cli-table3';

export function table(head: string[], rows: (string | number)[][]): string {
  const printed = new Table({ head, style: { head: [], border: [], compact: true } });
  printed.push(...rows);
  return printed.toString();
}

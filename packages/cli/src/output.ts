/** Plain-text tables. */
import Table from 'cli-table3';

const NO_BORDERS = {
  ...Object.fromEntries(
    ['top', 'top-mid', 'top-left', 'top-right', 'bottom', 'bottom-mid'].map(k => [k, '']),
  ),
  ...Object.fromEntries(
    ['bottom-left', 'bottom-right', 'left', 'left-mid', 'mid', 'mid-mid'].map(k => [k, '']),
  ),
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Formats rows in columns below a header. */
export function table(head: string[], rows: (string | number)[][]): string {
  const printed = new Table({
    head,
    chars: NO_BORDERS,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
  });
  printed.push(...rows);
  return printed.toString();
}

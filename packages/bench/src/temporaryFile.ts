/** Files that last as long as an experiment. */
import { type OperatorFile } from '@cleatquay/settings';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** A file that disposing removes. */
export interface TemporaryFile extends Disposable {
  readonly path: string;
}

/** Writes an operators' file for the processes of an experiment. */
export function writeOperatorFile(file: OperatorFile): TemporaryFile {
  const folder = mkdtempSync(join(tmpdir(), 'cleatquay-'));
  const path = join(folder, 'operators.json');
  writeFileSync(path, JSON.stringify(file));
  return { path, [Symbol.dispose]: () => rmSync(folder, { recursive: true }) };
}

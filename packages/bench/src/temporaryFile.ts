/** Files that exist for the duration of an experiment. */
import { type OperatorFile } from '@cleatquay/settings';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** A file that is removed when this is disposed. */
export interface TemporaryFile extends Disposable {
  readonly path: string;
}

/** Writes an operator file to a temporary folder for the processes of an experiment. */
export function writeOperatorFile(file: OperatorFile): TemporaryFile {
  const folder = mkdtempSync(join(tmpdir(), 'cleatquay-'));
  const path = join(folder, 'operators.json');
  writeFileSync(path, JSON.stringify(file));
  return { path, [Symbol.dispose]: () => rmSync(folder, { recursive: true }) };
}

/** Keys for organisations. */
import { digestOfKey } from '@cleatquay/organisations';
import { randomBytes } from 'node:crypto';

/** As many as nobody guesses. */
const KEY_BYTES = 24;

/** A new key and its digest, a line each. Nothing keeps the key: whoever is to use it has to be given it now. */
export function newKey(): string {
  const key = randomBytes(KEY_BYTES).toString('base64url');
  return `key     ${key}\ndigest  ${digestOfKey(key)}`;
}

/** API keys for organisations. */
import { digestOfKey } from '@cleatquay/organisations';
import { randomBytes } from 'node:crypto';

/** 192 bits, which cannot be guessed. */
const KEY_BYTES = 24;

/** Generates a key and its digest, one a line. The key is stored nowhere: it has to be handed to its user at once. */
export function newKey(): string {
  const key = randomBytes(KEY_BYTES).toString('base64url');
  return `key     ${key}\ndigest  ${digestOfKey(key)}`;
}

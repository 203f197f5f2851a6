/** What a caller shows of itself. Its key is turned into a digest here and kept nowhere. */
import { hash } from 'node:crypto';

/** `none` without any, `malformed` for what is no single key, else the digest of the key. */
export type Credentials = 'none' | 'malformed' | { readonly keyDigest: string };

const BEARER = /^bearer +([\x21-\x7e]+)$/i;
/** Keys have some twenty characters; longer texts aren't worth a digest. */
const LONGEST_HEADER = 1024;

/** Names a key without giving it away. The time that it takes depends on the length of the key only. */
export function digestOfKey(key: string): string {
  return hash('sha256', key, 'base64url');
}

/** Reads the credentials in a header, named in lower case, among node's raw ones, names and values by turns. */
export function credentialsIn(rawHeaders: readonly string[], header: string): Credentials {
  let found: string | undefined;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    if (name.length !== header.length || name.toLowerCase() !== header) continue;
    if (found !== undefined) return 'malformed';
    found = rawHeaders[i + 1] ?? '';
  }
  if (found === undefined) return 'none';
  const [, key] = found.length > LONGEST_HEADER ? [] : (BEARER.exec(found) ?? []);
  return key === undefined ? 'malformed' : { keyDigest: digestOfKey(key) };
}

/** Reads the credentials of a caller. Only the digest of an API key is kept, never the key. */
import { hash } from 'node:crypto';

/** `none` if the header is absent, `malformed` if it isn't a single bearer key, else the digest of the key. */
export type Credentials = 'none' | 'malformed' | { readonly keyDigest: string };

const BEARER = /^bearer +([\x21-\x7e]+)$/i;
/** Keys have about twenty characters; longer headers are rejected without hashing them. */
const MAX_HEADER_CHARS = 1024;

/** Identifies a key without revealing it. The running time depends only on the key's length. */
export function digestOfKey(key: string): string {
  return hash('sha256', key, 'base64url');
}

/** Parses the credentials in a header (lower-case name) of node's raw headers, alternating names and values. */
export function parseCredentials(rawHeaders: readonly string[], header: string): Credentials {
  let found: string | undefined;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i] ?? '';
    if (name.length !== header.length || name.toLowerCase() !== header) continue;
    if (found !== undefined) return 'malformed';
    found = rawHeaders[i + 1] ?? '';
  }
  if (found === undefined) return 'none';
  const [, key] = found.length > MAX_HEADER_CHARS ? [] : (BEARER.exec(found) ?? []);
  return key === undefined ? 'malformed' : { keyDigest: digestOfKey(key) };
}

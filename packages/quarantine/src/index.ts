/** Requests under which upstreams end: what is known of them, and which are held back. */
export { type AskedHead, FINGERPRINT_DIGITS, fingerprintOf } from './fingerprint.js';

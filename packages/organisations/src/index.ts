/** Organisations that send requests: whose a request is, and what each may send. */
export { type Credentials, credentialsIn, digestOfKey } from './credentials.js';
export { Keyring } from './keyring.js';
export { type Organisation, type Quota } from './organisation.js';

/** Organisations that send requests: whose a request is, and what each may send. */
export { type Credentials, credentialsIn, digestOfKey } from './credentials.js';
export { type QuotaMember } from './holders.js';
export { Quotas, type QuotasOptions } from './quotas.js';
export { type Taken } from './quotaQueue.js';
export { type QuotaDivision, QuotaPots } from './quotaPots.js';
export { LOAN_MS, ShareLoans } from './shareLoans.js';
export { SHARDS, holderOf, shardOf } from './shards.js';
export { Ranks } from './ranks.js';
export { Keyring } from './keyring.js';
export { type EndCounts, OrganisationCounts, type RequestEnd } from './organisationCounts.js';
export { type Organisation, type Quota } from './organisation.js';

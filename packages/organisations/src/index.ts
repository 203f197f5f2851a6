/** Organisations that send requests: identification by API key, priorities and quotas. */
export { type Credentials, credentialsIn, digestOfKey } from './credentials.js';
export { type QuotaMember } from './holders.js';
export { Quotas, type QuotasOptions } from './quotas.js';
export { type Taken } from './quotaQueue.js';
export { type QuotaDivision, QuotaBuckets } from './quotaPots.js';
export { LEASE_MS, ShareLeases } from './shareLoans.js';
export { SHARD_COUNT, coordinatorOf, shardOf } from './shards.js';
export { Ranks } from './ranks.js';
export { Keyring } from './keyring.js';
export { type EndCounts, OrganisationCounts, type RequestEnd } from './organisationCounts.js';
export { type Organisation, type Quota } from './organisation.js';

/** Organisations that send requests: identification by API key, priorities and quotas. */
export { type Credentials, parseCredentials, digestOfKey } from './credentials.js';
export { type QuotaMember } from './coordinatorDirectory.js';
export { QuotaCoordinator } from './quotaCoordinator.js';
export { Quotas, type QuotasOptions } from './quotas.js';
export { type QuotaDecision } from './quotaQueue.js';
export { type QuotaDivision, QuotaBuckets } from './quotaBuckets.js';
export { LEASE_MS, ShareLeases } from './shareLeases.js';
export { type ShareReport } from './shareReport.js';
export { SHARD_COUNT, coordinatorOf, shardOf } from './shards.js';
export { PriorityClasses } from './priorityClasses.js';
export { Keyring } from './keyring.js';
export { type DispositionCounts, OrganisationCounts, type RequestDisposition } from './organisationCounts.js';
export { type Organisation, type Quota } from './organisation.js';

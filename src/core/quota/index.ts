/** Quotas of customers over all entries: the holder's buckets, and what each entry has of them. */
export { capacityOf } from './capacityof.js';
export { costOf } from './costof.js';
export { LocalBucket } from './localbucket.js';
export { quotaLimits } from './quotalimits.js';
export { quotaParts } from './quotaparts.js';
export type { QuotaTerms } from './quotaterms.js';
export { SharedBucket } from './sharedbucket.js';

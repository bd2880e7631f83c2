/** Customer quotas over all entries: shared buckets at the order lease holder, and a local bucket at each entry. */
export { capacityOf } from './capacityof.js';
export { costOf } from './costof.js';
export { LocalBucket } from './localbucket.js';
export { quotaLimits } from './quotalimits.js';
export { quotaParts } from './quotaparts.js';
export type { QuotaTerms } from './quotaterms.js';
export { SharedBucket } from './sharedbucket.js';

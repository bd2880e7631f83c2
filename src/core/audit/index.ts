/** Audit trail of a service document: a hash chain, in which each entry holds the hash of the previous one. */
export type { AuditEntry } from './auditentry.js';
export type { AuditFailure } from './auditfailure.js';
export type { Hash } from './hash.js';
export { sealEntry } from './sealentry.js';
export { verifyChain } from './verifychain.js';

/** The audit trail of a service's document: a chain of entries, each with the hash of the one before. */
export type { AuditEntry } from './auditentry.js';
export type { AuditFailure } from './auditfailure.js';
export type { Hash } from './hash.js';
export { sealEntry } from './sealentry.js';
export { verifyChain } from './verifychain.js';

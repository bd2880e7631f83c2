import type { AuditEntry } from '../audit/index.js';

/** Value stored under a service's key. Document and audit are one value, so that one swap changes both. */
export interface StoredService {
  readonly format: 1;
  /** Text of the document in force, as the operator wrote it (JSON with comments). */
  readonly document: string;
  /** The latest entries of the audit trail, oldest first. */
  readonly audit: readonly AuditEntry[];
}

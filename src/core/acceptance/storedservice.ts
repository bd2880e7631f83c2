import type { AuditEntry } from '../audit/index.js';

/** What the store holds under a service's key: one value, so that one swap changes all of it. */
export interface StoredService {
  readonly format: 1;
  /** Text of the document in force, as the operator wrote it (JSON with comments). */
  readonly document: string;
  /** The latest entries of the audit trail, oldest first. */
  readonly audit: readonly AuditEntry[];
}

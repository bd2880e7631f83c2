import type { ChangeId, Ms, Revision } from '../../base/index.js';
import type { Hunk } from '../text/index.js';

/** One accepted change of a document. */
export interface AuditEntry {
  /** Position in the chain, from 1. */
  readonly index: number;
  readonly changeId: ChangeId;
  /** Operator who made the change. */
  readonly who: string;
  /** Wall-clock time of the operator's machine. */
  readonly atMs: Ms;
  readonly act: 'apply' | 'rollback';
  /** Reason given by the operator. */
  readonly cause: string;
  /** Revision that the change replaced; 0 for the first. */
  readonly basedOnRevision: Revision;
  /** Hash of the document's text. */
  readonly documentHash: string;
  /** Hash of the previous entry; empty for the first. */
  readonly previousHash: string;
  /** Hash of all fields above. */
  readonly hash: string;
  /**
   * Hunks that turn this entry's text into the previous one. Not part of the hash, since old hunks are
   * dropped; the restored text is checked against the previous entry's `documentHash`.
   */
  readonly undo?: readonly Hunk[];
}

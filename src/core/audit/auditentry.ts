import type { ChangeId, Ms, Revision } from '../../base/index.js';
import type { Hunk } from '../text/index.js';

/** One accepted change of a document. */
export interface AuditEntry {
  /** Position in the chain, from 1. */
  readonly index: number;
  readonly changeId: ChangeId;
  /** Operator who made the change. */
  readonly who: string;
  /** Wall clock of the operator's machine. */
  readonly atMs: Ms;
  readonly act: 'apply' | 'rollback';
  /** Why, in the operator's words. */
  readonly cause: string;
  /** Revision that the change replaced; 0 for the first. */
  readonly basedOnRevision: Revision;
  /** Hash of the document's text. */
  readonly documentHash: string;
  /** Hash of the entry before; empty for the first. */
  readonly previousHash: string;
  /** Hash of all fields above. */
  readonly hash: string;
  /**
   * How to get the text before from this one's. Not in the hash, since it is dropped when it grows old;
   * what comes of it is checked against the entry before.
   */
  readonly undo?: readonly Hunk[];
}

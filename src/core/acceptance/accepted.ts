import type { ChangeId, Revision } from '../../base/index.js';

/** A change that is in force, or was in force until a later change. */
export interface Accepted {
  readonly changeId: ChangeId;
  /** Store revision at which the change took effect. */
  readonly revision: Revision;
  /** Hash of the document's text. */
  readonly documentHash: string;
}

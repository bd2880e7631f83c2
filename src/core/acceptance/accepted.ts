import type { ChangeId, Revision } from '../../base/index.js';

/** A change that is in force, or was until a later one. */
export interface Accepted {
  readonly changeId: ChangeId;
  /** Revision of the store at which the change took effect. */
  readonly revision: Revision;
  /** Hash of the document's text. */
  readonly documentHash: string;
}

import type { ChangeId, Revision } from '../../src/base/index.js';
import type { AcceptanceFailure } from '../../src/core/acceptance/index.js';

/** A change requested by an operator, and the outcome reported to it. */
export interface Attempt {
  readonly changeId: ChangeId;
  readonly expectedRevision: Revision;
  readonly outcome: 'accepted' | AcceptanceFailure['type'];
  /** Revision reported to the operator if the change was accepted. */
  readonly revision?: Revision;
}

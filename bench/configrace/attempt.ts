import type { ChangeId, Revision } from '../../src/base/index.js';
import type { AcceptanceFailure } from '../../src/core/acceptance/index.js';

/** What an operator asked for, and what it was told. */
export interface Attempt {
  readonly changeId: ChangeId;
  readonly expectedRevision: Revision;
  readonly told: 'accepted' | AcceptanceFailure['type'];
  /** Revision that it was told, if accepted. */
  readonly revision?: Revision;
}

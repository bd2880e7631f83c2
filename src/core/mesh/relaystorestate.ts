import type { Ms } from '../../base/index.js';

/** State of a relay's connection to the store. */
export interface RelayStoreState {
  readonly phase: 'closed' | 'listing' | 'watching' | 'waiting';
  /** Store revision up to which all changes have been received. */
  readonly revision: number;
  /** Store revision of the last listing; a document not in that listing had been deleted by then. */
  readonly listedRevision: number;
  readonly failureCount: number;
  readonly retryAtMs: Ms;
  readonly resyncAtMs: Ms;
}

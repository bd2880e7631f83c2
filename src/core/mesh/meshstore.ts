import type { Ms } from '../../base/index.js';

/** A relay's dealings with the store. */
export interface MeshStore {
  readonly phase: 'closed' | 'listing' | 'watching' | 'waiting';
  /** Store revision up to which everything has been seen. */
  readonly revision: number;
  /** Store revision of the last list; a document that it lacks had been deleted by then. */
  readonly listedRevision: number;
  readonly failureCount: number;
  readonly retryAtMs: Ms;
  readonly resyncAtMs: Ms;
}

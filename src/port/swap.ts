import type { Revision } from '../base/index.js';

/** A compare-and-swap on one key. */
export interface Swap {
  readonly key: string;
  /** The revision that the key must have; 0 requires that the key does not exist. */
  readonly expectedRevision: Revision;
  /** The new value; undefined deletes the key. */
  readonly value: string | undefined;
  /** The key is deleted when this lease lapses. */
  readonly leaseId?: string;
}

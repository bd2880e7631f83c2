import type { Revision } from '../base/index.js';

/** One key of the store with its value, as read. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Revision at which this value was written. */
  readonly revision: Revision;
}

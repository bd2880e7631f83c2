import type { Ms, Revision } from '../../base/index.js';

/** What the list has said of the latest start of an upstream. A later record adds to it and takes nothing back. */
export interface Lifecycle {
  readonly startedAtMs?: Ms;
  /** Revision of the last change of its record. */
  readonly revision: Revision;
  /** Highest sequence of its records; undefined if it reports none. */
  readonly sequence?: number;
  /** True once a record has said so; the start never accepts requests again. */
  readonly isLeaving: boolean;
  /** When its record was removed; undefined while it is listed. */
  readonly removedAtMs?: Ms;
}

import type { Ms } from '../../base/index.js';

/** A connection that may be closed when memory runs out. */
export interface Holder<Id> {
  readonly id: Id;
  readonly heldBytes: number;
  /** When it last sent a byte, or read one of an answer; for a held answer, when memory was last taken for it. */
  readonly progressAtMs: Ms;
}

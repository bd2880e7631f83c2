import type { DocumentFailure } from '../documentfailure.js';

/** A problem found by a check, before it is located in the text. */
export interface Finding {
  readonly type: DocumentFailure['type'];
  /** JSON pointer of the field that is wrong. */
  readonly pointer: string;
  readonly detail: string;
}

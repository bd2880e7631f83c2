import type { DocumentFailure } from '../documentfailure.js';

/** What a check found, before its place in the text is known. */
export interface Finding {
  readonly type: DocumentFailure['type'];
  /** JSON pointer of the field that is wrong. */
  readonly pointer: string;
  readonly detail: string;
}

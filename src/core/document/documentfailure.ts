import type { Failure } from '../../base/index.js';

/** Why a document cannot be accepted, with the position in its text. Lines and columns start at 1. */
export interface DocumentFailure extends Failure {
  readonly type:
    | 'document-syntax'
    | 'document-unknown-field'
    | 'document-wrong-unit'
    | 'document-invalid'
    | 'document-duplicate'
    | 'document-dangling-name'
    | 'document-model-unplaceable'
    | 'document-models-do-not-fit'
    | 'document-shrinks-too-far'
    | 'document-other-owner';
  readonly file: string;
  readonly line: number;
  readonly column: number;
  /** Path of the field, for example `kinds.0.deadlineMs`. */
  readonly field: string;
}

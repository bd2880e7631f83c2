import type { Failure } from './failure.js';

/** Wraps a typed failure for libraries that expect an exception. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(`${failure.type}: ${failure.detail}`);
    this.name = 'FailureError';
    this.failure = failure;
  }
}

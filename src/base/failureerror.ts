import type { Failure } from './failure.js';

/** Carries a typed failure where a library asks for an exception. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(`${failure.type}: ${failure.detail}`);
    this.name = 'FailureError';
    this.failure = failure;
  }
}

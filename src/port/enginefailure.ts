import type { Executed, Failure } from '../base/index.js';

/** Why an upstream gave no complete answer, and whether the request may have run. */
export interface EngineFailure extends Failure {
  readonly type:
    | 'upstream-unreachable'
    | 'upstream-cut'
    | 'upstream-refused'
    | 'upstream-wrong-answer'
    | 'upstream-fenced'
    | 'upstream-unsupported'
    | 'cancelled';
  readonly executed: Executed;
}

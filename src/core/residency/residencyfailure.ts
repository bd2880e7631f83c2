import type { Failure } from '../../base/index.js';

/** Why memory was not given, and when to come back if that is known. */
export interface ResidencyFailure extends Failure {
  readonly type:
    | 'model-absent'
    | 'model-loading'
    | 'model-unloading'
    | 'role-changing'
    | 'upstream-leaving'
    | 'incarnation-pending'
    | 'incarnation-superseded'
    | 'store-unavailable'
    | 'memory-full'
    | 'memory-unknown'
    | 'version-needs-room'
    | 'plan-epoch-old'
    | 'plan-wrong-upstream'
    | 'plan-does-not-fit';
  /** 0 when nothing is known. */
  readonly retryAfterMs: number;
}

import type { Failure } from '../../base/index.js';

/** Why a pin, plan or on-demand load was refused, with a retry-after time if known. */
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
  /** 0 if not known. */
  readonly retryAfterMs: number;
}

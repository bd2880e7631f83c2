import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** One model at one upstream in a plan, and why it is there. */
export interface Placed {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly adapters: readonly AdapterId[];
  readonly reason:
    /** It is in memory, and nothing speaks against it. */
    | 'resident'
    /** Its load has been ordered by an earlier plan. */
    | 'ordered'
    /** It has no other place. */
    | 'only-place'
    /** It carries forecast demand that the other places cannot. */
    | 'demand'
    /** A second place in another availability zone, in memory that nothing else needs. */
    | 'spare'
    /** Kept until another upstream has it. */
    | 'kept'
    /** Placed elsewhere first, so that its memory here can go to a model that fits nowhere. */
    | 'shifted';
  /** Expected gain in weighted answers in time; 0 where the place does not depend on it. */
  readonly gain: number;
  /** What its moves cost, in weighted answers in time. */
  readonly cost: number;
}

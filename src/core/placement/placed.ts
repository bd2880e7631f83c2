import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** A planned replica and the reason for it. */
export interface Placed {
  readonly upstream: UpstreamId;
  readonly model: ModelId;
  readonly adapters: readonly AdapterId[];
  readonly reason:
    /** It is in memory and may stay. */
    | 'resident'
    /** An earlier plan has ordered its load. */
    | 'ordered'
    /** It is the only replica of its model. */
    | 'only-place'
    /** It serves forecast demand that exceeds the capacity of the other replicas. */
    | 'demand'
    /** A second replica in another availability zone, in memory that is not needed otherwise. */
    | 'spare'
    /** It stays on a leaving upstream until another upstream has the model ready. */
    | 'kept'
    /** A copy of a replica elsewhere, whose memory is then freed for a model that fits nowhere. */
    | 'shifted';
  /** Expected gain in weighted answers on time; 0 where the decision does not depend on it. */
  readonly gain: number;
  /** Cost of its moves, in weighted answers on time. */
  readonly cost: number;
}

import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';
import type { Placed } from '../placement/index.js';

/** What a planner asks of its shell. */
export type PlannerEffect =
  /** Sends an upstream's part of the plan. */
  | {
      readonly type: 'place';
      readonly upstream: UpstreamId;
      readonly sequence: number;
      readonly models: readonly {
        readonly model: ModelId;
        readonly version: string;
        readonly adapters: readonly AdapterId[];
        readonly urgency: number;
      }[];
      readonly role: 'mixed' | 'prefill' | 'decode';
      readonly keepUntilPlaced: readonly ModelId[];
    }
  /** Writes a move down with its reason. */
  | { readonly type: 'moved'; readonly place: Placed };

import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';
import type { Placed } from '../placement/index.js';

/** An action that the planner requests from its shell. */
export type PlannerEffect =
  /** Send an upstream its part of the plan. */
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
  /** Record a move with its reason. */
  | { readonly type: 'moved'; readonly place: Placed };

import type { ModelId, Ms } from '../../base/index.js';
import type { Site } from './site.js';

/** The replicas of a model, loaded or loading, and its load. */
export interface HeldModel {
  readonly model: ModelId;
  /** Engines that have it or are loading it. */
  sites: Site[];
  readyCount: number;
  /** Expected time until the first of its loads under way is done; Infinity if there is none. */
  readyInMs: Ms;
  /** Concurrent requests in units of one engine's slots; 0 for models with negligible load. */
  load: number;
  /** Requests per second. */
  perSecond: number;
}

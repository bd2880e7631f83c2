import type { ModelId, Ms } from '../../base/index.js';
import type { Site } from './site.js';

/** Where a model is, or will be. */
export interface Held {
  readonly model: ModelId;
  /** Engines that have it or are loading it. */
  sites: Site[];
  readyCount: number;
  /** When the first place on its way should be there, from now. */
  comingInMs: Ms;
  /** Its requests at a time, in engines' worth of slots; 0 for models that hardly count. */
  load: number;
  /** Its requests in a second. */
  perSecond: number;
}

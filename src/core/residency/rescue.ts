import type { Ms } from '../../base/index.js';

/** An on-demand load: a model that entries found on no upstream stays wanted until `untilMs`. */
export interface Rescue {
  readonly model: string;
  readonly adapters: readonly string[];
  readonly untilMs: Ms;
}

import type { ModelId, Ms } from '../../base/index.js';

/** One model that a service offers. */
export interface ModelSpec {
  readonly id: ModelId;
  readonly sizeMb: number;
  readonly adapterCount: number;
  readonly adapterSizeMb: number;
  /** Time of a load from the weight store. */
  readonly loadMs: Ms;
  /** Time of a load where the host still has the weights on its disk. */
  readonly diskLoadMs: Ms;
  /** Time of a load where the host still has the weights in its memory. */
  readonly warmLoadMs: Ms;
}

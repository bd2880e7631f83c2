import type { ModelId, Ms } from '../../base/index.js';

/** Configuration of one model of a service. */
export interface ModelSpec {
  readonly id: ModelId;
  readonly sizeMb: number;
  readonly adapterCount: number;
  readonly adapterSizeMb: number;
  /** Time to load it from the weight store. */
  readonly loadMs: Ms;
  /** Time to load it on a host that has the weights on disk. */
  readonly diskLoadMs: Ms;
  /** Time to load it on a host that has the weights in memory. */
  readonly warmLoadMs: Ms;
}

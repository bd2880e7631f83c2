import type { KindName, ModelId } from '../../base/index.js';

/** A model that the service offers. Every model stays reachable. */
export interface Model {
  readonly id: ModelId;
  readonly version: string;
  /** Accelerator memory of the weights at one upstream, over all its accelerators. */
  readonly sizeBytes: number;
  /** Kind of a request that names none. */
  readonly defaultKind: KindName;
  /** Accelerator memory of one token in flight. */
  readonly kvCacheBytesPerToken?: number;
}

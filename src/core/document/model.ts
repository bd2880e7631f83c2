import type { KindName, ModelId } from '../../base/index.js';

/** A model that the service offers. Every one stays reachable. */
export interface Model {
  readonly id: ModelId;
  readonly version: string;
  /** Accelerator memory that the weights take at one upstream, over all its accelerators. */
  readonly sizeBytes: number;
  /** Kind of request when the caller names none. */
  readonly defaultKind: KindName;
  /** Accelerator memory that one token in flight takes. */
  readonly kvCacheBytesPerToken?: number;
}

import type { AdapterId, ModelId } from '../../base/index.js';

/** A model that has to be placed. */
export interface CellModel {
  readonly id: ModelId;
  readonly version: string;
  readonly sizeBytes: number;
  readonly adapters: readonly { readonly id: AdapterId; readonly sizeBytes: number }[];
  /** What one answer in time counts for. */
  readonly weight: number;
}

import type { AdapterId, ModelId } from '../../base/index.js';

/** A model to be placed. */
export interface CellModel {
  readonly id: ModelId;
  readonly version: string;
  readonly sizeBytes: number;
  readonly adapters: readonly { readonly id: AdapterId; readonly sizeBytes: number }[];
  /** Weight of one answer on time. */
  readonly weight: number;
}

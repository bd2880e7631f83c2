import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** An upstream that accepts work, with the models and adapters that it has ready. */
export interface Holder {
  readonly upstream: UpstreamId;
  readonly models: readonly { readonly model: ModelId; readonly adapters: readonly AdapterId[] }[];
  /** Requests that run or wait there. */
  readonly requestCount: number;
  readonly slots: number;
}

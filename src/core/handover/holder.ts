import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';

/** An upstream that takes work, and what is ready in its memory. */
export interface Holder {
  readonly upstream: UpstreamId;
  readonly models: readonly { readonly model: ModelId; readonly adapters: readonly AdapterId[] }[];
  /** Requests that it runs or that wait there, and how many it runs at once. */
  readonly requestCount: number;
  readonly slots: number;
}

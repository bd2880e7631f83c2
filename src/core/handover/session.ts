import type { AdapterId, ModelId, RequestId } from '../../base/index.js';

/** A stream that the stopping upstream cannot finish. */
export interface Session {
  readonly requestId: RequestId;
  readonly model: ModelId;
  readonly adapter: AdapterId | undefined;
  /** Tokens of prompt and answer, which another engine would have to prefill without the cache. */
  readonly tokenCount: number;
}

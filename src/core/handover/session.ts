import type { AdapterId, ModelId, RequestId } from '../../base/index.js';

/** A stream that the stopping upstream can not finish. */
export interface Session {
  readonly requestId: RequestId;
  readonly model: ModelId;
  readonly adapter: AdapterId | undefined;
  /** Tokens of prompt and answer: what another engine would have to prefill. */
  readonly tokenCount: number;
}

import type { AdapterId, ModelId, RequestId } from '../base/index.js';

/** A request for an engine. */
export interface Generation {
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly path: string;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Buffer;
  readonly streaming: boolean;
  readonly model: ModelId;
  readonly adapter?: AdapterId;
  /** Higher goes first in the engine. */
  readonly priority: number;
  /** What an earlier attempt has already delivered. */
  readonly continuation?: {
    readonly text: string;
    readonly tokenCount: number;
    readonly dataCount: number;
  };
}

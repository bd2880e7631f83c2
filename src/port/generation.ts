import type { AdapterId, ModelId, RequestId } from '../base/index.js';

/** A generation request to an engine. */
export interface Generation {
  readonly requestId: RequestId;
  readonly attempt: number;
  readonly path: string;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  readonly body: Buffer;
  readonly streaming: boolean;
  readonly model: ModelId;
  readonly adapter?: AdapterId;
  /** The engine runs higher values first. */
  readonly priority: number;
  /** The part of the answer that earlier attempts have delivered. */
  readonly continuation?: {
    readonly text: string;
    readonly tokenCount: number;
    readonly dataCount: number;
  };
}

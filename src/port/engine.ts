import type { Result } from 'ts-results';
import type { RequestId } from '../base/index.js';
import type { AnswerStream } from './answerstream.js';
import type { CacheEvents } from './cacheevents.js';
import type { EngineFailure } from './enginefailure.js';
import type { EngineReport } from './enginereport.js';
import type { Generation } from './generation.js';
import type { Order } from './order.js';

/** A model engine: OpenAI-compatible inference, and the orders that its operators document. */
export interface Engine {
  generate(
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>>;
  /** Takes up a broken answer at the same engine, after the piece that gave `resumeToken`. */
  resume(
    generation: Generation,
    resumeToken: string,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>>;
  cancel(requestId: RequestId): Promise<Result<void, EngineFailure>>;
  /** Ok means that the engine took the order, not that it is done: see the report. */
  order(order: Order): Promise<Result<void, EngineFailure>>;
  report(): Promise<Result<EngineReport, EngineFailure>>;
  cacheEvents(afterSequence: number): Promise<Result<CacheEvents, EngineFailure>>;
  /** Gives nothing where the cache is larger than the limit. */
  exportCache(requestId: RequestId, limitBytes: number): Promise<Result<Uint8Array, EngineFailure>>;
  importCache(requestId: RequestId, cache: Uint8Array): Promise<Result<void, EngineFailure>>;
}

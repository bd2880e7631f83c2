import type { Result } from 'ts-results';
import type { RequestId } from '../base/index.js';
import type { AnswerStream } from './answerstream.js';
import type { CacheEvents } from './cacheevents.js';
import type { EngineFailure } from './enginefailure.js';
import type { EngineReport } from './enginereport.js';
import type { Generation } from './generation.js';
import type { Order } from './order.js';

/** A model engine: OpenAI-compatible inference and the engine's documented administrative orders. */
export interface Engine {
  generate(
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>>;
  /** Resumes a broken answer at the same engine, after the piece that carried `resumeToken`. */
  resume(
    generation: Generation,
    resumeToken: string,
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>>;
  cancel(requestId: RequestId): Promise<Result<void, EngineFailure>>;
  /** Ok means that the engine accepted the order. The report shows when it is done. */
  order(order: Order): Promise<Result<void, EngineFailure>>;
  report(): Promise<Result<EngineReport, EngineFailure>>;
  cacheEvents(afterSequence: number): Promise<Result<CacheEvents, EngineFailure>>;
  /** Fails if the cache is larger than `limitBytes`. */
  exportCache(requestId: RequestId, limitBytes: number): Promise<Result<Uint8Array, EngineFailure>>;
  importCache(requestId: RequestId, cache: Uint8Array): Promise<Result<void, EngineFailure>>;
}

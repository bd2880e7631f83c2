import type { Result } from 'ts-results';
import type { AnswerStream, EngineFailure } from '../port/index.js';
import type { RequestHead } from '../wire/index.js';

/** How an upstream is called for one request. */
export type UpstreamCall = (
  requestId: string,
  head: RequestHead,
  signal: AbortSignal,
) => Promise<Result<AnswerStream, EngineFailure>>;

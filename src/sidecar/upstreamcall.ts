import type { Result } from 'ts-results';
import type { AnswerStream, EngineFailure } from '../port/index.js';
import type { RequestHead } from '../wire/index.js';

/** One call to the upstream. */
interface Call {
  readonly requestId: string;
  readonly head: RequestHead;
  /** Higher goes first in an engine. */
  readonly priority: number;
  /** Set to take up a broken answer at the same engine. */
  readonly resumeToken?: string;
}

/** How an upstream is called for one request. */
export type UpstreamCall = (
  call: Call,
  signal: AbortSignal,
) => Promise<Result<AnswerStream, EngineFailure>>;

import type { Result } from 'ts-results';
import type { AnswerStream, EngineFailure } from '../port/index.js';
import type { RequestHead } from '../wire/index.js';

/** One call to the upstream. */
interface Call {
  readonly requestId: string;
  readonly head: RequestHead;
  /** An engine runs higher values first. */
  readonly priority: number;
  /** Set to resume a broken answer at the same engine. */
  readonly resumeToken?: string;
}

/** Calls the upstream for one request. */
export type UpstreamCall = (
  call: Call,
  signal: AbortSignal,
) => Promise<Result<AnswerStream, EngineFailure>>;

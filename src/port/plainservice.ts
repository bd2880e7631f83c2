import type { Result } from 'ts-results';
import type { RequestId } from '../base/index.js';
import type { AnswerStream } from './answerstream.js';
import type { EngineFailure } from './enginefailure.js';

/** A plain HTTP service: an upstream that is not a model engine. */
export interface PlainService {
  call(
    call: {
      readonly requestId: RequestId;
      readonly method: string;
      readonly path: string;
      readonly headers: readonly { readonly name: string; readonly value: string }[];
      readonly body: Buffer;
    },
    signal: AbortSignal,
  ): Promise<Result<AnswerStream, EngineFailure>>;
}

import type { Result } from 'ts-results';
import type { EngineFailure } from './enginefailure.js';

/** An upstream's answer, streamed as it arrives. */
export interface AnswerStream {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  /**
   * Pieces of the body in order. If the answer breaks off, the last item is a failure. Slow reading applies
   * backpressure to the upstream. Leaving the loop early cancels the request.
   */
  readonly pieces: AsyncIterable<
    Result<
      {
        readonly payload: Buffer;
        readonly tokenCount: number;
        /** Token to resume the answer after this piece; absent if the upstream cannot resume. */
        readonly resumeToken?: string | undefined;
      },
      EngineFailure
    >
  >;
}

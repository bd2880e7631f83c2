import type { Result } from 'ts-results';
import type { EngineFailure } from './enginefailure.js';

/** An upstream's answer as it arrives. */
export interface AnswerStream {
  readonly status: number;
  readonly headers: readonly { readonly name: string; readonly value: string }[];
  /**
   * Pieces in order; the last is a failure if the answer broke. Reading slowly holds the upstream
   * back. Leaving the loop early cancels the request.
   */
  readonly pieces: AsyncIterable<
    Result<
      {
        readonly payload: Buffer;
        readonly tokenCount: number;
        /** Where the answer may be resumed from after this piece, if the upstream can. */
        readonly resumeToken?: string;
      },
      EngineFailure
    >
  >;
}

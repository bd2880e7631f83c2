import type { KeyHash, ModelId, Ms, PromptPartId, RequestId } from '../base/index.js';
import type { Refusal } from './refusal.js';

/** A caller's complete request. */
interface CallerRequest {
  readonly id: RequestId;
  readonly host: string;
  readonly method: string;
  /** Path with query, as sent. */
  readonly path: string;
  /** Hash of the caller's API key. */
  readonly keyHash: KeyHash | undefined;
  /** Value of `Authorization`: forwarded only if no keys are configured, and never logged. */
  readonly authorization: string | undefined;
  /** Tokens of the prompt and of the expected answer, if the caller states them. */
  readonly tokens: number | undefined;
  /** Headers to forward to an upstream: alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** How long the caller waits from the request's arrival on. */
  readonly deadlineMs: Ms | undefined;
  readonly model: ModelId | undefined;
  readonly adapter: string | undefined;
  /** Parts of the prompt that other requests may share, in order; the part of the request's own is left out. */
  readonly sharedParts: readonly PromptPartId[];
  /** Id of the last event that the caller has received, if it resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Request that the first event of the resumed stream came with, if the caller names it. */
  readonly resumes: RequestId | undefined;
  readonly arrivedAtMs: Ms;
}

/** A caller that waits for an answer. */
export interface Caller {
  readonly request: CallerRequest;
  /** Starts the answer. An answer without a length ends when the connection closes. */
  begin(status: number, headers: readonly string[]): void;
  /** Writes a part of the answer. Returns false if the caller accepts no more data for now. */
  write(chunk: Buffer): boolean;
  end(): void;
  /** Answers with a problem document; only before `begin`. */
  refuse(refusal: Refusal): void;
  /** Records that the request is passed on to an upstream. */
  onSend?(): void;
  /** Charges memory that is taken for its answer; negative when it is given back. */
  charge(bytes: number): void;
  /** True if little memory is left, so that answers are to be passed on rather than held. */
  readonly isMemoryShort: boolean;
  /** Calls back when the memory that is held for its answer has to be given back. */
  onEvict(act: () => void): void;
  /** Breaks the connection, so that a partial answer does not look complete. */
  cut(): void;
  /** Calls back when the caller accepts more data again. */
  onFree(act: () => void): void;
  /** Calls back once if the caller leaves before its answer is complete. */
  onGone(act: () => void): void;
  /** True while a callback of `whenPresent` runs: the caller has just been found to be connected. */
  readonly isPresent: boolean;
  /** Calls back after all connection closes that have already arrived are processed, unless the caller has left. */
  whenPresent(act: () => void): void;
}

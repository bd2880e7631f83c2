import type { KeyHash, ModelId, Ms, RequestId } from '../base/index.js';
import type { Refusal } from './refusal.js';

/** A caller's whole request. */
interface CallerRequest {
  readonly id: RequestId;
  readonly host: string;
  readonly method: string;
  /** Path with its query, as sent. */
  readonly path: string;
  /** Hash of the key that it came with. */
  readonly keyHash: KeyHash | undefined;
  /** What it came with as `Authorization`: goes on only where no keys are configured, and is never logged. */
  readonly authorization: string | undefined;
  /** Tokens of the prompt and of the expected answer, where the caller names them. */
  readonly tokens: number | undefined;
  /** Those that go on to an upstream: alternates names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** How long the caller waits, counted from its arrival. */
  readonly deadlineMs: Ms | undefined;
  readonly model: ModelId | undefined;
  readonly adapter: string | undefined;
  /** Id of the last event that the caller has, where it comes back for the rest of a stream. */
  readonly resumeAfter: string | undefined;
  readonly arrivedAtMs: Ms;
}

/** A caller that waits for its answer. */
export interface Caller {
  readonly request: CallerRequest;
  /** An answer without a length goes on as it came: it ends with the connection. */
  begin(status: number, headers: readonly string[], hasLength: boolean): void;
  /** Returns false while the caller takes no more. */
  write(chunk: Buffer): boolean;
  end(): void;
  /** Ends it with a problem document; only before `begin`. */
  refuse(refusal: Refusal): void;
  /** Breaks the connection, so that a begun answer does not look complete. */
  cut(): void;
  /** Calls back when the caller takes more again. */
  onFree(act: () => void): void;
  /** Calls back once if the caller leaves before its answer is complete. */
  onGone(act: () => void): void;
  /** True while `act` of `whenPresent` runs: the caller was there a moment ago. */
  readonly isPresent: boolean;
  /** Calls back once every close that has arrived by now was read, unless the caller has left. */
  whenPresent(act: () => void): void;
}

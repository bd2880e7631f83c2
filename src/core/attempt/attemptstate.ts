import type { Ms, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** State of one request over all its attempts. */
export interface AttemptState {
  /** A state of attempt.chart.json. */
  readonly phase: string;
  /** Number of attempts started. */
  readonly attempt: number;
  readonly upstream: UpstreamId | undefined;
  /** Upstreams that refused or failed it. */
  readonly tried: readonly UpstreamId[];
  /** True if the last attempt failed; false if the request was refused without having run. */
  readonly hasFailed: boolean;
  /** True once the upstreams that failed it may be tried a second time. */
  readonly again: boolean;
  /** Refusals of all attempts without a complete answer, in order. */
  readonly refusals: readonly Refusal[];
  /** True once part of the answer was sent to the caller. */
  readonly passed: boolean;
  /** True if the request may be run more than once. */
  readonly repeatable: boolean;
  /** True if a ticket binds it to one upstream, which runs it at most once, however often it is sent. */
  readonly bound: boolean;
  readonly deadlineAtMs: Ms;
  readonly attemptLimit: number;
}

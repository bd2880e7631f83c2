import type { Ms, UpstreamId } from '../../base/index.js';
import type { Refusal } from '../../wire/index.js';

/** Where one request stands, over all its attempts. */
export interface AttemptState {
  /** A state of attempt.chart.json. */
  readonly phase: string;
  /** Attempts that were begun. */
  readonly attempt: number;
  readonly upstream: UpstreamId | undefined;
  /** Upstreams that refused or failed it. */
  readonly tried: readonly UpstreamId[];
  /** True if the last attempt failed, rather than that the request was turned away. */
  readonly hasFailed: boolean;
  /** True once the upstreams that failed it have been let in for a second time. */
  readonly again: boolean;
  /** How each attempt ended that gave no whole answer, in order. */
  readonly refusals: readonly Refusal[];
  /** True once the caller has been sent a part of the answer. */
  readonly passed: boolean;
  /** True if the request may be run more than once. */
  readonly repeatable: boolean;
  /** True if a ticket ties it to one upstream, which runs it once however often it is asked. */
  readonly bound: boolean;
  readonly deadlineAtMs: Ms;
  readonly attemptLimit: number;
}

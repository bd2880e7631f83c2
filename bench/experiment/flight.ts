import type { WorkloadRequest } from './workloadrequest.js';

/** State of a request in flight. */
export interface Flight {
  readonly ask: WorkloadRequest;
  readonly entry: number;
  readonly deadlineAtMs: number;
  /** Upstreams that refused the request or failed while they had it. */
  readonly tried: number[];
  upstream: number;
  phase: 'routing' | 'parked' | 'queued' | 'running' | 'ended';
  startedAtMs: number;
  /** Time of the first token; negative before it. */
  firstAtMs: number;
  /** Tokens generated so far. */
  tokens: number;
  /** Tokens already generated at the last start. */
  tokensAtStart: number;
  preemptions: number;
  /** Retry-after time of the last refusal; 0 if it gave none. */
  retryAfterMs: number;
  /** True for the retry of a refused request. */
  readonly isRetry: boolean;
}

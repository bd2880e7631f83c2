import type { Ask } from './ask.js';

/** A request on its way: what has happened to it so far. */
export interface Flight {
  readonly ask: Ask;
  readonly entry: number;
  readonly deadlineAtMs: number;
  /** Upstreams that refused it or failed under it. */
  readonly tried: number[];
  upstream: number;
  phase: 'routing' | 'parked' | 'queued' | 'running' | 'ended';
  startedAtMs: number;
  /** Negative until the first token. */
  firstAtMs: number;
  made: number;
  /** Tokens made when it last started. */
  madeAtStart: number;
  preemptions: number;
  /** When the last refusal told it to come back; 0 if it did not. */
  retryAfterMs: number;
  /** True for a request that was refused before and came back as told. */
  readonly cameBack: boolean;
}

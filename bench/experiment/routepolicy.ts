import type { Ask } from './ask.js';
import type { SeenLoad } from './queuepolicy.js';

/** An upstream as one entry sees it, some time ago. */
export interface Candidate {
  readonly index: number;
  readonly id: string;
  readonly availabilityZone: string;
  readonly phase: 'ready' | 'loading';
  /** From the last answer or refusal that this entry had from it. */
  readonly load: SeenLoad | undefined;
}

/** What became of one attempt. */
export interface RouteOutcome {
  readonly index: number;
  readonly ask: Ask;
  readonly type: 'answered' | 'refused' | 'broken' | 'unreachable';
  readonly load: SeenLoad | undefined;
}

/** Chooses an upstream for each request; every entry has its own. */
export interface RoutePolicy {
  /** `candidates` hold the model (or serve its route), do not leave and were not tried yet. */
  choose(ask: Ask, candidates: readonly Candidate[], nowMs: number): Candidate | undefined;
  learn(outcome: RouteOutcome, nowMs: number): void;
}

/** Where and as which an entry routes. */
export interface RouteSettings {
  readonly entry: number;
  readonly availabilityZone: string;
  readonly seed: number;
}

/** Builds the router of one entry. */
export type MakeRoute = (settings: RouteSettings) => RoutePolicy;

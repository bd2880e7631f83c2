import type { PlanUpstream } from './planupstream.js';

/** A model at an engine, and what is lost if it goes. */
export interface Victim {
  readonly placed: PlanUpstream['placed'][number];
  readonly loss: number;
}

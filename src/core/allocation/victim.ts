import type { PlanUpstream } from './planupstream.js';

/** A model on an engine and the loss from evicting it. */
export interface Victim {
  readonly placed: PlanUpstream['placed'][number];
  readonly loss: number;
}

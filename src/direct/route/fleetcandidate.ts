import type { Ms } from '../../base/index.js';
import type { Candidate } from '../../core/upstreamforecast/index.js';
import type { UpstreamState } from './upstreamstate.js';

/** A candidate of the fleet, with the input of its forecast. */
export interface FleetCandidate extends Candidate {
  state: UpstreamState;
  load: number;
  slots: number;
  unloadedFirstMs: Ms;
  serviceMs: Ms;
  prefillCount: number;
}

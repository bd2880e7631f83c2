import type { ModelId, Ms, ServiceId, TraitId } from '../../base/index.js';
import type { Crash } from './crash.js';

/** A trait of requests under which upstreams seemed to crash, with what is known of each crash. */
export interface Suspect {
  readonly trait: TraitId;
  readonly service: ServiceId;
  readonly model?: ModelId;
  /** Path without its query, by which an operator recognises a request; absent for a part of prompts. */
  readonly path?: string;
  /** Wall clock of the first crash. Only an age in hours is computed from it, so clock skew does not matter. */
  readonly sinceWallMs: Ms;
  /** At most one for each upstream. */
  readonly crashes: readonly Crash[];
}

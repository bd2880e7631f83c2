import type { ContentId, ModelId, Ms, ServiceId } from '../../base/index.js';
import type { Crash } from './crash.js';

/** A request under which upstreams seemed to crash, with what is known of each crash. */
export interface Suspect {
  readonly content: ContentId;
  readonly service: ServiceId;
  readonly model?: ModelId;
  /** Path without its query, by which an operator recognises the request. */
  readonly path: string;
  /** Wall clock of the first crash. Only an age in hours is computed from it, so clock skew does not matter. */
  readonly sinceWallMs: Ms;
  /** At most one for each upstream. */
  readonly crashes: readonly Crash[];
}

import type { ContentId, ModelId, Ms, ServiceId } from '../../base/index.js';
import type { Crash } from './crash.js';

/** A request under which upstreams seemed to end, with what is known of each of them. */
export interface Suspect {
  readonly content: ContentId;
  readonly service: ServiceId;
  readonly model?: ModelId;
  /** Path without its query, to tell an operator what it is. */
  readonly path: string;
  /** Wall clock of the first crash; only an age in hours is taken from it. */
  readonly sinceWallMs: Ms;
  /** At most one for each upstream. */
  readonly crashes: readonly Crash[];
}

import type { Ms, UpstreamId } from '../../base/index.js';
import type { Target } from '../document/index.js';

/** An on-demand load: this entry asked a sidecar to load a model that no upstream held. */
export interface Rescue {
  readonly target: Target;
  readonly phase: 'asked' | 'loading' | 'refused';
  /** The upstream asked last. */
  readonly upstream: UpstreamId;
  readonly asked: readonly UpstreamId[];
  /** True once no upstream had room: then models that have been in memory for a while may be unloaded for it. */
  readonly sharing: boolean;
  /** When the answer is due (`asked`), the load should end (`loading`), or to ask again (`refused`). */
  readonly untilMs: Ms;
}

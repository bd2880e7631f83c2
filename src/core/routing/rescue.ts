import type { Ms, UpstreamId } from '../../base/index.js';
import type { Target } from '../document/index.js';

/** A load that this entry has asked a sidecar for, because no upstream held the model. */
export interface Rescue {
  readonly target: Target;
  readonly phase: 'asked' | 'loading' | 'refused';
  /** The upstream that was asked last. */
  readonly upstream: UpstreamId;
  readonly asked: readonly UpstreamId[];
  /** True once nobody had room: then models that have been in memory for a while make way. */
  readonly sharing: boolean;
  /** Expected end of the load; for `refused`, when it makes sense to ask again. */
  readonly untilMs: Ms;
}

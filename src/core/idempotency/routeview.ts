import type { Incarnation, UpstreamId } from '../../base/index.js';

/** One incarnation of an upstream's sidecar. */
interface Place {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
}

/** An entry's view of the sidecars; it may lag. */
export interface RouteView {
  /** Returns the highest known incarnation; 0 if none is known. */
  incarnationOf(upstream: UpstreamId): Incarnation;
  /** Returns the sidecar that took over the ticket table of an incarnation after a planned stop. */
  heirOf(place: Place): Place | undefined;
}

import type { Incarnation, UpstreamId } from '../../base/index.js';

/** One incarnation of an upstream's sidecar. */
interface Place {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
}

/** What an entry has heard of sidecars; it may lag behind the truth. */
export interface RouteView {
  /** The highest incarnation that was heard of; 0 if none was. */
  incarnationOf(upstream: UpstreamId): Incarnation;
  /** The sidecar that took over the table of an incarnation which stopped as planned. */
  heirOf(place: Place): Place | undefined;
}

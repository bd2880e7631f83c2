import type { Ms } from '../../base/index.js';
import type { Upstream } from '../../core/upstreams/index.js';

/** What an entry knows of one upstream, from the list and from its own requests. */
export interface UpstreamState {
  info: Upstream;
  /** Requests of this entry that are there now. */
  inFlight: number;
  /** Requests of others, as the last answer's load told. */
  othersLoad: number;
  othersAtMs: Ms;
  /** Part of the recent attempts that failed there: 0 to 1. */
  failureShare: number;
  /** Not chosen before then while another can be. */
  avoidUntilMs: Ms;
  /** When it was last found lost: a connection did not open, or after a failure another start answered. */
  lostAtMs: Ms;
  answeredAtMs: Ms;
  failedAtMs: Ms;
  /** `model` or `model/adapter` that was found missing or made present, before the list told of it. */
  readonly hints: Map<string, { readonly isThere: boolean; readonly untilMs: Ms }>;
}

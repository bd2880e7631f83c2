import type { Ms, UpstreamId } from '../../base/index.js';
import type { CrashState } from './crashstate.js';

/** An upstream that seemed to crash while it ran a request. */
export interface Crash {
  readonly upstream: UpstreamId;
  /** Time from sending the request to the loss of the connection. */
  readonly runMs: Ms;
  /** Probability that the upstream crashed within that time for another reason: above 0, up to 1. */
  readonly chance: number;
  /**
   * True if the request was suspected already and ran alone. Crashes of other runs may share a cause that is not the
   * request, such as a rack that loses power while many callers send the same request.
   */
  readonly isTrial: boolean;
  readonly state: CrashState;
}

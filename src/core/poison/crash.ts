import type { Ms, UpstreamId } from '../../base/index.js';
import type { CrashState } from './crashstate.js';

/** One upstream that seemed to end while it ran a request. */
export interface Crash {
  readonly upstream: UpstreamId;
  /** How long the run had lasted. */
  readonly runMs: Ms;
  /** How probable it was that the upstream ended within that time without the request's doing: above 0, up to 1. */
  readonly chance: number;
  /**
   * The request was suspected already and ran alone. Other ends may have one cause that is not the request, such as
   * a rack that goes dark while many ask the same.
   */
  readonly isTrial: boolean;
  readonly state: CrashState;
}

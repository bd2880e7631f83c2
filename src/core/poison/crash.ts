import type { Ms, ServiceId, TraitId, UpstreamId } from '../../base/index.js';
import type { CrashState } from './crashstate.js';

/** An upstream that seemed to crash while it ran requests with a trait. */
export interface Crash {
  readonly upstream: UpstreamId;
  readonly service: ServiceId;
  /** Software of the upstream; undefined if it is not known. Other software may not crash. */
  readonly softwareVersion: string | undefined;
  /** Time from sending the request to the loss of the connection. */
  readonly runMs: Ms;
  /** Probability that the upstream crashed within that time for another reason: above 0, up to 1. */
  readonly chance: number;
  /**
   * True if the trait was suspected already and the request ran alone. Crashes of other runs may share a cause that is
   * not the trait, such as a rack that loses power while many callers send the same request.
   */
  readonly isTrial: boolean;
  readonly state: CrashState;
  /** True if some entry saw the trait run well on this software earlier: one crash may well have another cause. */
  readonly hasPriorProof: boolean;
  /** Other suspected traits that every run with this trait had there, sorted: one of them may be the cause. */
  readonly companions: readonly TraitId[];
}

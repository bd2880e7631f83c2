import type { Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { HandOverPhase } from './handoverphase.js';
import type { HandOverLimits } from './handoverlimits.js';
import type { Session } from './session.js';

/** A session that is being handed over. */
interface Moving {
  readonly session: Session;
  readonly phase: HandOverPhase;
  /** The upstream that it is handed over to. */
  readonly upstream: UpstreamId | undefined;
}

/** State of the hand-over on a planned stop. */
export interface HandOverState {
  readonly limits: HandOverLimits;
  /** In the order in which they are exported. */
  readonly moving: ReadonlyMap<RequestId, Moving>;
  /** Total size of the caches sent or being sent. */
  readonly sentBytes: number;
  readonly untilMs: Ms;
}

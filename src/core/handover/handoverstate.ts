import type { Ms, RequestId, UpstreamId } from '../../base/index.js';
import type { HandOverPhase } from './handoverphase.js';
import type { Limits } from './limits.js';
import type { Session } from './session.js';

/** One session on its way to another upstream. */
interface Moving {
  readonly session: Session;
  readonly phase: HandOverPhase;
  /** Where it goes. */
  readonly upstream: UpstreamId | undefined;
}

/** How far the hand-over of a planned stop has come. */
export interface HandOverState {
  readonly limits: Limits;
  /** In the order in which they are exported. */
  readonly moving: ReadonlyMap<RequestId, Moving>;
  /** Bytes that were sent or are being sent. */
  readonly sentBytes: number;
  readonly untilMs: Ms;
}

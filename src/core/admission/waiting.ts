import type { Ms } from '../../base/index.js';
import type { DecayingRate } from './decayingrate.js';
import type { Offer } from './offer.js';

/** A queued request. */
export interface Waiting {
  readonly offer: Offer;
  readonly lane: number;
  readonly offeredAtMs: Ms;
  readonly deadlineAtMs: Ms;
  /** A later start would miss the deadline; infinity if part of the answer was already sent. */
  readonly latestStartAtMs: Ms;
  /** Estimated time for which it will hold its slot. */
  readonly holdMs: Ms;
  /** Weight of an answer in time divided by the time for which it holds its slot. */
  readonly valuePerMs: number;
  /** The usage rate that its work was added to: within its customer's share, beyond it, or background. */
  counted: DecayingRate | undefined;
  /** `lane`: queued; `parked`: waiting for its model to load; `left`: started, refused or abandoned. */
  place: 'lane' | 'parked' | 'left';
}

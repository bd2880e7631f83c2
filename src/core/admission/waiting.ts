import type { Ms } from '../../base/index.js';
import type { Inflow } from './inflow.js';
import type { Offer } from './offer.js';

/** A request that waits. */
export interface Waiting {
  readonly offer: Offer;
  readonly lane: number;
  readonly offeredAtMs: Ms;
  readonly deadlineAtMs: Ms;
  /** Starting later would miss the deadline; infinity once a part of the answer was sent. */
  readonly latestStartAtMs: Ms;
  /** Time that it will hold its place, as estimated. */
  readonly holdMs: Ms;
  /** What an answer in time is worth for each ms that it holds its place. */
  readonly worth: number;
  /** Where its work was counted: within its customer's share, or beyond. */
  counted: Inflow | undefined;
  /** `left` it has started, was refused, or its caller has gone. */
  place: 'lane' | 'parked' | 'left';
}

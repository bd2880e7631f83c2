import type { Ms } from '../base/index.js';
import type { Refusal } from '../wire/index.js';

/** A request in flight, as the entry supervises it. */
export interface InFlightRequest {
  /** Ends the request now with the given refusal. */
  expire(refusal: Refusal): void;
  /** Checks for stalls: disconnects a caller that has stalled, and ends an attempt whose upstream has stalled. */
  checkStall(nowMs: Ms): void;
}

import type { Ms } from '../base/index.js';
import type { Refusal } from '../wire/index.js';

/** A request in flight, as its entry looks after it. */
export interface Live {
  /** Gives it a typed end now. */
  expire(refusal: Refusal): void;
  /** Looks for what has stood still for too long. */
  sweep(nowMs: Ms): void;
}

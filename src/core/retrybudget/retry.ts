import type { Ms } from '../../base/index.js';

/** A retry that a budget allows: it counts as long as it is reserved, and for a window from its send on. */
export interface Retry {
  readonly reservedAtMs: Ms;
  /** Counts it as sent now; returns false if the present window has no room for it. Repeatable while it is not sent. */
  send(nowMs: Ms): boolean;
  /** Makes it reserved again: it was not sent. */
  withhold(): void;
  /** Returns it to the budget, unless it was sent. */
  cancel(): void;
}

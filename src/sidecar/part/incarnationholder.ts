import type { Incarnation } from '../../base/index.js';

/** This sidecar's incarnation, taken from the store by compare-and-swap. */
export interface IncarnationHolder {
  /** Returns 0 until the incarnation is taken; no ticket may be issued before that. It never changes afterwards. */
  current(): Incarnation;
  /** False before the incarnation is taken, and after another sidecar has taken a later one. */
  isHeld(): boolean;
}

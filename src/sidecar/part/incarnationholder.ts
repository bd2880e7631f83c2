import type { Incarnation } from '../../base/index.js';

/** This sidecar's incarnation, taken from the store by compare-and-swap. */
export interface IncarnationHolder {
  /** 0 until it has been taken: then no ticket may be issued. Never changes afterwards. */
  current(): Incarnation;
  /** False before it has been taken, and once another sidecar has taken a later one. */
  isHeld(): boolean;
}

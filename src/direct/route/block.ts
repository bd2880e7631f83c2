import type { Ms } from '../../base/index.js';

/** Why an upstream gets no request now, though it could run it. */
export interface Block {
  /** It has named a limit of requests, or wants nothing from this entry for a time. */
  readonly reason: 'limited' | 'paused';
  /** Until then it stays so; Infinity if that is not known yet. */
  readonly opensInMs: Ms;
}

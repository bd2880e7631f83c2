import type { Ms } from '../../base/index.js';

/** Why an upstream that could run a request may not be sent it now. */
export interface Block {
  /** `limited`: it has reported a rate limit. `paused`: it has asked this entry for a backoff. */
  readonly reason: 'limited' | 'paused';
  /** Time until requests may be sent again; Infinity if unknown. */
  readonly opensInMs: Ms;
}

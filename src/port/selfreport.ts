import type { Ms } from '../base/index.js';

/** What an answer's head says of how many requests its upstream takes. */
type RateWord =
  /** So many requests a second from all processes together. */
  | { readonly type: 'limited'; readonly perS: number }
  /** Whatever comes. */
  | { readonly type: 'unlimited' }
  /** The answer cannot tell: what was known before holds on. */
  | { readonly type: 'unsaid' };

/** What an upstream says of itself in the head of an answer, beside its load. */
export interface SelfReport {
  readonly rate: RateWord;
  /** It ends soon and takes no new work. */
  readonly isLeaving: boolean;
  /** It wants nothing from this process for so long; absent where it does not say so. */
  readonly pauseMs?: Ms;
  /** Fields that could not be read, with what stood there. */
  readonly unreadable: readonly string[];
}

import type { KindName, Ms } from '../../base/index.js';

/** A kind of request: how urgent it is and what an answer in time is worth. */
export interface Kind {
  readonly name: KindName;
  /** `urgent` goes first; `background` is pre-empted first. */
  readonly priority: 'urgent' | 'normal' | 'background';
  /** Time from arrival to the first token (engines) or whole answer (plain services). */
  readonly deadlineMs: Ms;
  /** What one correct answer in time counts for in attainment. */
  readonly weight: number;
  /** True if the request may be run more than once. */
  readonly repeatable: boolean;
  /** Long jobs are bounded in number at each upstream. */
  readonly longJob?: boolean;
}

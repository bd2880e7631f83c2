import type { KindName, Ms } from '../../base/index.js';

/** A kind of request, with its priority, deadline and weight. */
export interface Kind {
  readonly name: KindName;
  /** `urgent` requests are served first; `background` ones are pre-empted first. */
  readonly priority: 'urgent' | 'normal' | 'background';
  /** Time from arrival to the first token (engines) or the complete answer (plain services). */
  readonly deadlineMs: Ms;
  /** Weight of one correct answer in time in the attainment. */
  readonly weight: number;
  /** True if the request may be run more than once. */
  readonly repeatable: boolean;
  /** True for long jobs, whose number at each upstream is limited. */
  readonly longJob?: boolean;
}

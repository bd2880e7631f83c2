import type { Ms } from '../../base/index.js';

/** For whom a moment is wanted at which a request may be sent to an upstream with a limit. */
export interface SlotAsk {
  /** Names the request: one question at a time is asked for it. Absent if the slot is for whichever comes next. */
  readonly asker?: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** How long it can wait. */
  readonly waitMs: Ms;
}

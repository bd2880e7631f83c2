import type { Cell } from './cell.js';

/** What a planner is told: a round begins, with the cell as it is seen now. */
export interface PlannerEvent {
  readonly type: 'round';
  readonly cell: Cell;
}

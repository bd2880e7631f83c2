import type { Cell } from './cell.js';

/** Starts a planning round with the present state of the cell. */
export interface PlannerEvent {
  readonly type: 'round';
  readonly cell: Cell;
}

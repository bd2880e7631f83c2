/** Plans which upstream of a cell should hold which model. */
export type { CellModel } from './cellmodel.js';
export type { CellPlan } from './cellplan.js';
export { cellsOfModel } from './cellsofmodel.js';
export type { CellUpstream } from './cellupstream.js';
export { splitCells } from './splitcells.js';
export type { Demand } from './demand.js';
export type { Placed } from './placed.js';
export { placementRules } from './placementrules.js';
export { planCell } from './plancell.js';
export type { PlanInput } from './planinput.js';

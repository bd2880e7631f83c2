/** Turns what should be in memory into orders, one at a time. */
export type { Catalogue } from './catalogue.js';
export type { DesiredHolding } from './desiredholding.js';
export { desiredOf } from './desiredof.js';
export { isEvictable } from './isevictable.js';
export { nextDraft } from './nextdraft.js';
export type { OrderDraft } from './orderdraft.js';
export type { Plan } from './plan.js';
export { roomOf } from './roomof.js';
export type { View } from './view.js';

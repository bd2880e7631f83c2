/** Reconciler: compares the desired with the actual memory contents and derives the next order. */
export type { Catalogue } from './catalogue.js';
export type { DesiredHolding } from './desiredholding.js';
export { desiredOf } from './desiredof.js';
export { isEvictable } from './isevictable.js';
export { nextDraft } from './nextdraft.js';
export type { OrderDraft } from './orderdraft.js';
export type { Plan } from './plan.js';
export { roomOf } from './roomof.js';
export type { View } from './view.js';

/** Asks entries how far they are, for operators. */
export { askEntries } from './askentries.js';
export { explainModel } from './explainmodel.js';
export type { Explanation } from './explanation.js';
export type { EntryReport } from './entryreport.js';
export type { EntryStatus } from './entrystatus.js';

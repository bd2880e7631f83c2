/** Queries entries for the operator commands. */
export { queryEntries } from './queryentries.js';
export { explainModel } from './explainmodel.js';
export type { Explanation } from './explanation.js';
export type { EntryReport } from './entryreport.js';
export type { EntryStatus } from './entrystatus.js';

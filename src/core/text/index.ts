/** Positions in JSON texts, line diffs, and suggestions for misspelt field names. */
export { describeInvalid } from './describeinvalid.js';
export { diffLines } from './difflines.js';
export { formatDiff } from './formatdiff.js';
export type { Hunk } from './hunk.js';
export { locate } from './locate.js';
export { normalise } from './normalise.js';
export { parseDocument } from './parsedocument.js';
export { patchLines } from './patchlines.js';
export { position } from './position.js';
export { suggest } from './suggest.js';

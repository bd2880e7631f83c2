/** Places and differences in JSON texts, and what a misspelt field may have meant. */
export { describeInvalid } from './describeinvalid.js';
export { diffLines } from './difflines.js';
export { formatDiff } from './formatdiff.js';
export type { Hunk } from './hunk.js';
export { locate } from './locate.js';
export { normalise } from './normalise.js';
export { patchLines } from './patchlines.js';
export { position } from './position.js';
export { suggest } from './suggest.js';

/** Places in JSON texts, and what a misspelt field may have meant. */
export { describeInvalid } from './describeinvalid.js';
export { locate } from './locate.js';
export { position } from './position.js';
export { suggest } from './suggest.js';

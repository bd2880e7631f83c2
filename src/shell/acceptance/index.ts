/** Writes changes of documents to the store. */
export { acceptChange } from './acceptchange.js';
export type { AcceptanceContext } from './acceptancecontext.js';
export { sha256 } from './sha256.js';

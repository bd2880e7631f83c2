/** Carries changes of documents into the store. */
export { acceptChange } from './acceptchange.js';
export type { AcceptanceTools } from './acceptancetools.js';
export { sha256 } from './sha256.js';

/** Decides whether a request waits for a model that no upstream holds yet, or is refused with a retry-after time. */
export { continuedHoldMs } from './continuedholdms.js';
export { holdOrRefuse } from './holdorrefuse.js';
export type { ResidencyWait } from './residencywait.js';

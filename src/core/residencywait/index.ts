/** Whether a request waits for a model that no upstream holds yet, or is told when to come back. */
export { holdOrRefuse } from './holdorrefuse.js';
export type { ResidencyWait } from './residencywait.js';

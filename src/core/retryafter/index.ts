/** Retry-after times for callers that find an engine full. */
export { spreadRetryAfterMs } from './spreadretryafterms.js';

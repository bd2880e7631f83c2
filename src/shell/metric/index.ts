/** The metrics driver. */
export { createMetrics } from './createmetrics.js';

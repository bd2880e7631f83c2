/** Metrics drivers. */
export { createMetrics } from './createmetrics.js';
export { statsdSchema } from './statsdschema.js';
export { TextMetrics } from './textmetrics.js';

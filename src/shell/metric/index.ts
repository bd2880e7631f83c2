/** The metrics driver. */
export { createMetrics } from './createmetrics.js';
export { statsdSchema } from './statsdschema.js';

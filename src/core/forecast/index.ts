/** Demand forecasters. */
export type { Forecaster } from './forecaster.js';
export { holtLog } from './holtlog.js';
export { peakHold } from './peakhold.js';
export { smooth } from './smooth.js';

/** When the next prompt may go to an engine, so that many at a time do not hold up the streams that run there. */
export { calmTime } from './calmtime.js';
export { isReading } from './isreading.js';
export { paceRules } from './pacerules.js';

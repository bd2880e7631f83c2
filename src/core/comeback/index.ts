/** When a caller that finds an engine full is told to come back. */
export { comeBackMs } from './comebackms.js';

/** Log drivers. */
export { createLog } from './createlog.js';
export { createAudit } from './createaudit.js';
export { createBoundedLog } from './createboundedlog.js';

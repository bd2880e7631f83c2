/** Admission control of the sidecar: the shell around src/core/admission. */
export { policyOf } from './policyof.js';
export { QueueAdmission } from './queueadmission.js';

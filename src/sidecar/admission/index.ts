/** The sidecar's admission: the core of src/core/admission behind the calls of the request path. */
export { policyOf } from './policyof.js';
export { QueueAdmission } from './queueadmission.js';

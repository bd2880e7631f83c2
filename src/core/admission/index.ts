/**
 * Admission control and queue of one upstream: when each request starts, which are refused, and which long jobs
 * are preempted.
 */
export { admission } from './admission.js';
export type { AdmissionEffect } from './admissioneffect.js';
export type { AdmissionEvent } from './admissionevent.js';
export type { AdmissionPolicy } from './admissionpolicy.js';
export type { AdmissionState } from './admissionstate.js';
export { Heap } from './heap.js';
export { LANES } from './lanes.js';
export type { Offer } from './offer.js';
export { startAdmission } from './startadmission.js';
export { reportLoad } from './reportload.js';

/**
 * Admission and queue of one upstream: which request starts when, which is refused, and which long job
 * makes room.
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
export { tellLoad } from './tellload.js';

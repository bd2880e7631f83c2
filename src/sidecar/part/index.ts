/** What the sidecar's shell asks of its parts: each is one interface with one implementation. */
export type { Admission } from './admission.js';
export type { Context } from './context.js';
export type { Permit } from './permit.js';
export type { Residency } from './residency.js';
export type { RunOnce } from './runonce.js';
export type { Slot } from './slot.js';

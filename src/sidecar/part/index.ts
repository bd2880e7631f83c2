/** Interfaces of the sidecar's parts. Tests can replace a part by another implementation. */
export type { Admission } from './admission.js';
export type { Context } from './context.js';
export type { FenceListener } from './fencelistener.js';
export type { IncarnationHolder } from './incarnationholder.js';
export type { IntentLog } from './intentlog.js';
export type { Permit } from './permit.js';
export type { Residency } from './residency.js';
export type { RunOnce } from './runonce.js';
export type { Slot } from './slot.js';

/** Ejection of upstreams whose answers are rejected, and their probes. */
export { ejectionRules } from './ejectionrules.js';
export type { EjectionState } from './ejectionstate.js';
export { initialEjection } from './initialejection.js';
export { onEndless } from './onendless.js';
export { onRejected } from './onrejected.js';
export { onSound } from './onsound.js';
export { probe } from './probe.js';

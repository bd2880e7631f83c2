/** An entry that calls upstreams directly, without sidecars. */
export type { Caller } from './caller.js';
export { DirectEntry } from './directentry.js';
export type { DirectSettings } from './directsettings.js';
export { plannedStop } from './plannedstop.js';
export type { Refusal } from './refusal.js';
export type { StateCodec } from './statecodec.js';

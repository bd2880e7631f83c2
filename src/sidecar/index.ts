/** The sidecar daemon: one beside each upstream, and the only door to it. */
export { sidecarSchema } from './sidecarschema.js';
export type { SidecarSettings } from './sidecarsettings.js';
export { startSidecar } from './startsidecar.js';

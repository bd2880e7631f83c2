/** The sidecar daemon: one runs beside each upstream, and all requests to the upstream go through it. */
export { sidecarSchema } from './sidecarschema.js';
export type { SidecarSettings } from './sidecarsettings.js';
export { startSidecar } from './startsidecar.js';

/**
 * Dissemination of versioned records to every process that wants them; no process returns to an older
 * version. `stepMesh` decides for one process; src/shell/mesh feeds it events and executes its effects.
 */
export { createMesh } from './createmesh.js';
export { defaultOptions } from './defaultoptions.js';
export { isNewer } from './isnewer.js';
export { isRelay } from './isrelay.js';
export type { HeldRecord } from './heldrecord.js';
export type { MeshBatch } from './meshbatch.js';
export type { MeshDigest } from './meshdigest.js';
export type { MeshEffect } from './mesheffect.js';
export type { MeshEvent } from './meshevent.js';
export type { MeshHost } from './meshhost.js';
export type { MeshOptions } from './meshoptions.js';
export type { MeshRecord } from './meshrecord.js';
export type { MeshSelf } from './meshself.js';
export type { MeshState } from './meshstate.js';
export { stepMesh } from './stepmesh.js';

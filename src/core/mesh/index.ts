/**
 * Dissemination: how versioned records reach every process that wants them, and never go back.
 * `stepMesh` decides for one process; src/shell/mesh carries its events and effects.
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

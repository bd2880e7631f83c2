/** Drivers around src/core/mesh, which replicates the board: gRPC calls, the watch on the store and timers. */
export { MeshBoard } from './meshboard.js';
export { recordOf } from './recordof.js';
export { serveMesh } from './servemesh.js';

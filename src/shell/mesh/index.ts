/** The shell of the dissemination: gRPC, the store's watch and timers around src/core/mesh. */
export { MeshBoard } from './meshboard.js';
export { recordOf } from './recordof.js';
export { serveMesh } from './servemesh.js';

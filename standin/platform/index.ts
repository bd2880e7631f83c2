/** Stand-ins for the platform's store and servers, for tests. */
export { PlatformServer, type ServerBehavior } from './platformserver.js';
export { PlatformStore } from './platformstore.js';
export { configurationOf } from './configurationof.js';
export { SlotGate } from './slotgate.js';
export type { Endless } from './endless.js';
export { endlessKinds } from './endlesskinds.js';

/** With what streams began, at whichever entry. */
export type { FoundOrigin } from './foundorigin.js';
export type { OriginAnswer } from './originanswer.js';
export type { OriginCopy } from './origincopy.js';
export { Origins } from './origins.js';
export { OriginStore } from './originstore.js';
export { VersionKeeper } from './versionkeeper.js';

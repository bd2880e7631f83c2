/** What a stream began with, which decides where it may go on. */
export { copyHolders } from './copyholders.js';
export { isContinuable } from './iscontinuable.js';
export type { Member } from './member.js';
export { OriginHistory } from './originhistory.js';
export type { StreamOrigin } from './streamorigin.js';
export { StreamVersions } from './streamversions.js';
export type { VersionRecord } from './versionrecord.js';

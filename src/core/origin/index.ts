/** What a stream began with, which decides where it may go on. */
export { isContinuable } from './iscontinuable.js';
export type { StreamOrigin } from './streamorigin.js';

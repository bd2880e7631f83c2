/** Follows the platform's store. */
export { Follower } from './follower.js';
export { paceTable } from './pacetable.js';
export { SharedFeed } from './sharedfeed.js';

/** Following the platform's store. */
export { Follower } from './follower.js';

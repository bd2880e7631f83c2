/** The router of an entry: carries news to the membership and routing cores, and their effects out. */
export { PolicyRouter } from './policyrouter.js';

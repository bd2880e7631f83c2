/** The router of an entry: passes events to the membership and routing cores, and performs their effects. */
export { PolicyRouter } from './policyrouter.js';

/** Hashes that are the same in every process, and rendezvous hashing on top of them. */
export { hash32 } from './hash32.js';
export { rendezvous } from './rendezvous.js';

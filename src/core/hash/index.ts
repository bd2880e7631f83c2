/** Hashes that every process computes alike, and the rendezvous order made of them. */
export { hash32 } from './hash32.js';
export { rendezvous } from './rendezvous.js';

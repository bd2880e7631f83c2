/** Keeps what was read of a body in blocks, whatever the sizes of the pieces it was read in. */
export { BodyBuffer } from './bodybuffer.js';
export { ChargedBuffer } from './chargedbuffer.js';

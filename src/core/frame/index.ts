/** Frames of one attempt in their order: what is passed on, dropped or missing. */
export type { FrameEffect } from './frameeffect.js';
export type { Sequence } from './sequence.js';
export { startSequence } from './startsequence.js';
export { stepSequence } from './stepsequence.js';

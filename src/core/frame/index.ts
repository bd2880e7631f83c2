/** Sequence check of the frames of one attempt: passes them on, drops them, or detects a gap. */
export type { FrameEffect } from './frameeffect.js';
export type { Sequence } from './sequence.js';
export { startSequence } from './startsequence.js';
export { stepSequence } from './stepsequence.js';

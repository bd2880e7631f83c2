/** What an entry keeps of a streamed answer, so that another engine may continue it byte by byte. */
export { continuedEvents } from './continuedevents.js';
export { HeldAnswer } from './heldanswer.js';
export type { Template } from './template.js';

/** State that an entry keeps of a streamed answer, so that another engine can continue it byte for byte. */
export { continuedEvents } from './continuedevents.js';
export { HeldAnswer } from './heldanswer.js';
export type { StreamTemplate } from './streamtemplate.js';

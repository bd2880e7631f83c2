/** Sends answers to callers: streams as they arrive, other bodies once they are complete. */
export { CallerAnswer } from './calleranswer.js';
export { HeldAnswers } from './heldanswers.js';

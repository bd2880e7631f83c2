/** Answers on their way to callers: streams as they arrive, other bodies once they are whole. */
export { CallerAnswer } from './calleranswer.js';

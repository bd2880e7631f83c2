/** Bounds the time that connections wait to be accepted: refuses or closes them while the accept queue is standing. */
export { initialOverload } from './initialoverload.js';
export { mayClose } from './mayclose.js';
export { overloadRules } from './overloadrules.js';
export { stepOverload } from './stepoverload.js';
export type { OverloadState } from './overloadstate.js';

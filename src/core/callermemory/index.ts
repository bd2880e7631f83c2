/** Bounds the memory that callers' requests and their answers take together, and chooses whom to close when it runs out. */
export { callerMemoryLimit } from './callermemorylimit.js';
export { callerMemoryRules } from './callermemoryrules.js';
export { chooseEvictions } from './chooseevictions.js';
export { isCallerMemoryFull } from './iscallermemoryfull.js';
export { mayEvictAnswer } from './mayevictanswer.js';
export type { Holder } from './holder.js';

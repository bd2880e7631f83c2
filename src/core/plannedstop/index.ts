/** What a process that was told to stop still does, as its grace runs out. */
export { stopPhase } from './stopphase.js';
export { takeWorkMs } from './takeworkms.js';

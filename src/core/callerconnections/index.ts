/** Divides a process's descriptors, and chooses the idle connection that makes room for another. */
export { callerConnectionLimit } from './callerconnectionlimit.js';
export { chooseIdle } from './chooseidle.js';

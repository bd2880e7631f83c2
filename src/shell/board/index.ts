/** The board: versioned records that are replicated to the processes of a region. */
export type { Board } from './board.js';
export type { BoardRecord } from './boardrecord.js';
export type { BoardStatus } from './boardstatus.js';
export { MemoryBoard } from './memoryboard.js';

/** The board: versioned records that all processes of a region share. */
export type { Board } from './board.js';
export type { BoardRecord } from './boardrecord.js';
export type { BoardStatus } from './boardstatus.js';
export { MemoryBoard } from './memoryboard.js';

import { MemoryBoard, type Board } from '../../shell/board/index.js';

/** The board of this entry. */
export function createBoard(): Board {
  return new MemoryBoard();
}

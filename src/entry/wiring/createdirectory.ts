import { BoardDirectory } from '../boarddirectory.js';
import { publishFiles } from '../publishfiles.js';
import type { Context, Directory } from '../part/index.js';

/** The documents in force at this entry. */
export function createDirectory({ settings, board, log, metrics }: Context): Directory {
  publishFiles(settings.documents ?? [], board);
  return new BoardDirectory(board, log, metrics);
}

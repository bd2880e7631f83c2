import { BoardDirectory } from '../boarddirectory.js';
import { publishFiles } from '../publishfiles.js';
import type { Context, Directory } from '../component/index.js';

/** Creates the directory of the documents in force at this entry. */
export function createDirectory({ settings, board, log, metrics }: Context): Directory {
  publishFiles(settings.documents ?? [], board);
  return new BoardDirectory(board, log, metrics);
}

import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import type { Board } from '../shell/board/index.js';

/** Lower than any revision that a store assigns to a document. */
const FILE_REVISION = 1;

/** Publishes documents from files on the board, for trials without a store. */
export function publishFiles(files: readonly string[], board: Board): void {
  for (const file of files) {
    const value = readFileSync(file);
    const { service } = parse(value.toString()) as { readonly service: string };
    board.publish({ key: `document/${service}`, epoch: 0, sequence: FILE_REVISION, value });
  }
}

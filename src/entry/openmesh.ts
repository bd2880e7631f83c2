import { FailureError } from '../base/index.js';
import { serveMesh, type MeshBoard } from '../shell/mesh/index.js';

/** Starts an entry's exchange of records, with a listener of its own where one is set up. */
export async function openMesh(
  board: MeshBoard,
  listen: string | null | undefined,
): Promise<{ close(): void }> {
  if (!listen) {
    board.start('');
    return { close: () => board.stop() };
  }
  const served = await serveMesh(board, listen);
  if (served.err) throw new FailureError(served.val);
  return served.val;
}

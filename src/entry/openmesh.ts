import { FailureError } from '../base/index.js';
import { serveMesh } from '../shell/mesh/index.js';
import type { Desk } from './desk.js';

/** Starts an entry's exchange of records, with a listener of its own where one is set up. */
export async function openMesh(
  { board, credentials }: Pick<Desk, 'board' | 'credentials'>,
  listen: string | null | undefined,
): Promise<{ close(): void }> {
  if (!listen) {
    board.start('');
    return { close: () => board.stop() };
  }
  const served = await serveMesh(board, listen, credentials.server);
  if (served.err) throw new FailureError(served.val);
  return served.val;
}

import { FailureError } from '../base/index.js';
import { serveMesh } from '../shell/mesh/index.js';
import type { EntryContext } from './entrycontext.js';

/** Starts the exchange of board records with peers; opens a listener for them if one is configured. */
export async function openMesh(
  { board, credentials }: Pick<EntryContext, 'board' | 'credentials'>,
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

import type { BoardStatus } from '../../shell/board/index.js';
import type { Context, Directory, Router } from '../part/index.js';
import { Planner } from '../planner/index.js';

/** The planner of this entry; it plans only while it holds a service's lease. */
export function createPlanner(
  context: Context & { readonly board: { status(): BoardStatus } },
  directory: Directory,
  router: Router,
): Planner {
  return new Planner(context, directory, router, () => context.board.status());
}

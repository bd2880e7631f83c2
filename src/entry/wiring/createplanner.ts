import type { BoardStatus } from '../../shell/board/index.js';
import type { Context, Directory, Router } from '../component/index.js';
import { Planner } from '../planner/index.js';

/** Creates the planner of this entry, which plans a service only while it holds that service's planner lease. */
export function createPlanner(
  context: Context & { readonly board: { status(): BoardStatus } },
  directory: Directory,
  router: Router,
): Planner {
  return new Planner(context, directory, router, () => context.board.status());
}

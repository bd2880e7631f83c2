import { PolicyRouter } from '../routing/index.js';
import type { Context, Directory, Router } from '../component/index.js';

/** Creates the router of this entry. */
export function createRouter(context: Context, directory: Directory): Router {
  return new PolicyRouter(context, directory);
}

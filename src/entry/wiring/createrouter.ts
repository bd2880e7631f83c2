import { RoundRobin } from '../roundrobin.js';
import type { Context, Directory, Router } from '../part/index.js';

/** The router of this entry. */
export function createRouter(_context: Context, directory: Directory): Router {
  return new RoundRobin(directory);
}

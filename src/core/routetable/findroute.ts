import type { Route } from './route.js';
import type { RouteTable } from './routetable.js';

/** Returns the host's route with the longest matching path prefix. */
export function findRoute(table: RouteTable, host: string, path: string): Route | undefined {
  for (const route of table.routesByHost.get(host) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

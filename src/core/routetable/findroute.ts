import type { Route } from './route.js';
import type { RouteTable } from './routetable.js';

/** The route with the longest prefix that begins the path, among those of the host. */
export function findRoute(table: RouteTable, host: string, path: string): Route | undefined {
  for (const route of table.routesByHost.get(host) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

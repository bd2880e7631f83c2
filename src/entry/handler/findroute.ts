import type { Route, ServiceDocument } from '../../core/document/index.js';

/** Returns the route of a plain service with the longest matching path prefix. */
export function findRoute(
  { groups }: ServiceDocument,
  method: string,
  path: string,
): Route | undefined {
  let best: Route | undefined;
  for (const route of groups.flatMap((group) => group.routes ?? [])) {
    if (route.method !== method || !path.startsWith(route.pathPrefix)) continue;
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}

import type { RequestId, ServiceId } from '../../base/index.js';
import { hash32 } from '../hash/index.js';
import type { Route } from './route.js';

/** Chooses a service of a route by weight. The choice is a function of the request id, so retries get the same one. */
export function pickService(route: Route, requestId: RequestId): ServiceId {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let left = total === 0 ? 0 : hash32(requestId) % total;
  for (const { service, weight } of route.destinations) {
    if (left < weight) return service;
    left -= weight;
  }
  return route.destinations[0]!.service;
}

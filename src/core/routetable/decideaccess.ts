import type { KeyHash } from '../../base/index.js';
import { findRoute } from './findroute.js';
import type { AccessDecision } from './accessdecision.js';
import type { RouteTable } from './routetable.js';

/** The attributes of a request on which access depends. */
interface RequestAttributes {
  readonly host: string;
  readonly path: string;
  readonly keyHash: KeyHash | undefined;
}

/** Decides whether a request is allowed. Routes are checked before keys: an unknown path is unknown with any key. */
export function decideAccess(
  table: RouteTable,
  { host, path, keyHash }: RequestAttributes,
): AccessDecision {
  const route = findRoute(table, host, path);
  if (!route) return { type: 'route-unknown' };
  const { access } = table;
  if (!access) return { type: 'allowed', route };
  const customer = keyHash === undefined ? undefined : access.customerByKey.get(keyHash);
  if (!customer && !route.isPublic) return { type: 'key-unknown' };
  return { type: 'allowed', route, customer };
}

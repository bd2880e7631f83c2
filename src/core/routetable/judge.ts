import type { KeyHash } from '../../base/index.js';
import { findRoute } from './findroute.js';
import type { Judgement } from './judgement.js';
import type { RouteTable } from './routetable.js';

/** What a request shows of itself before anything is done for it. */
interface Asked {
  readonly host: string;
  readonly path: string;
  readonly keyHash: KeyHash | undefined;
}

/** The route comes first: a path that nobody serves is unknown whoever asks for it. */
export function judge(table: RouteTable, { host, path, keyHash }: Asked): Judgement {
  const route = findRoute(table, host, path);
  if (!route) return { type: 'route-unknown' };
  const { access } = table;
  if (!access) return { type: 'allowed', route };
  const customer = keyHash === undefined ? undefined : access.customerByKey.get(keyHash);
  if (!customer && !route.isPublic) return { type: 'key-unknown' };
  return { type: 'allowed', route, customer };
}

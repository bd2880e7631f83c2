import type { Ms } from '../../base/index.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { pushesOf } from './pushesof.js';
import { targetsOf } from './targetsof.js';
import { tell } from './tell.js';
import { waitFor } from './waitfor.js';

/**
 * Passes adopted records on along their trees: documents at once, records of upstreams with the next
 * flush. `from` is the peer that they came from, or empty.
 */
export function spread(
  state: MeshState,
  adopted: readonly MeshRecord[],
  from: string,
  nowMs: Ms,
): MeshChange {
  const now = new Map<string, MeshRecord[]>();
  const later = new Map<string, string[]>();
  for (const record of adopted) {
    for (const to of targetsOf(state, record.key, from, nowMs)) {
      if (to === from) continue;
      if (isDocument(record.key)) now.set(to, [...(now.get(to) ?? []), record]);
      else later.set(to, [...(later.get(to) ?? []), record.key]);
    }
  }
  const next = waitFor(state, later);
  return { state: next, effects: [...tell(adopted), ...pushesOf(next, now)] };
}

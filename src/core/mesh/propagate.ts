import type { Ms } from '../../base/index.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { pushesOf } from './pushesof.js';
import { targetsOf } from './targetsof.js';
import { adoptedEffect } from './adoptedeffect.js';
import { queueForFlush } from './queueforflush.js';

/**
 * Propagates adopted records along their trees: documents at once, upstream records with the next flush.
 * `from` is the peer that sent them, or empty.
 */
export function propagate(
  state: MeshState,
  adopted: readonly MeshRecord[],
  from: string,
  nowMs: Ms,
): MeshChange {
  const immediate = new Map<string, MeshRecord[]>();
  const later = new Map<string, string[]>();
  for (const record of adopted) {
    for (const to of targetsOf(state, record.key, from, nowMs)) {
      if (to === from) continue;
      if (isDocument(record.key)) immediate.set(to, [...(immediate.get(to) ?? []), record]);
      else later.set(to, [...(later.get(to) ?? []), record.key]);
    }
  }
  const next = queueForFlush(state, later);
  return { state: next, effects: [...adoptedEffect(adopted), ...pushesOf(next, immediate)] };
}

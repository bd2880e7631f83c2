import type { Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import type { MeshChange } from './meshchange.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';
import { propagate } from './propagate.js';

/** Handles a change reported by a relay's watch. */
export function onWatchUpdate(state: MeshState, record: MeshRecord, nowMs: Ms): MeshChange {
  const { state: held, adopted } = adopt(state, [record], nowMs);
  const revision = Math.max(held.store.revision, record.sequence);
  return propagate({ ...held, store: { ...held.store, revision } }, adopted, '', nowMs);
}

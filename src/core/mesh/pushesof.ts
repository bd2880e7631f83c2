import { batchOf } from './batchof.js';
import type { MeshEffect } from './mesheffect.js';
import type { MeshRecord } from './meshrecord.js';
import type { MeshState } from './meshstate.js';

/** Returns one push for each address, with all its records. */
export function pushesOf(
  state: MeshState,
  recordsByAddress: ReadonlyMap<string, readonly MeshRecord[]>,
): readonly MeshEffect[] {
  return [...recordsByAddress].map(([to, records]) => ({
    type: 'push',
    to,
    batch: batchOf(state, records),
  }));
}

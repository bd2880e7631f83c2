import type { MeshEffect } from './mesheffect.js';
import type { MeshRecord } from './meshrecord.js';

/** Returns the effect that notifies local subscribers of adopted records; none for an empty list. */
export function adoptedEffect(records: readonly MeshRecord[]): readonly MeshEffect[] {
  return records.length === 0 ? [] : [{ type: 'adopted', records }];
}

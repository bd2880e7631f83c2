import type { MeshEffect } from './mesheffect.js';
import type { MeshRecord } from './meshrecord.js';

/** The effect that tells this process's own parts of adopted records. */
export function tell(records: readonly MeshRecord[]): readonly MeshEffect[] {
  return records.length === 0 ? [] : [{ type: 'adopted', records }];
}

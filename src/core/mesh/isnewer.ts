import type { MeshVersion } from './meshversion.js';

/** True if a record may replace the held one. Equal versions mean the same record. */
export function isNewer(offered: MeshVersion, held: MeshVersion | undefined): boolean {
  if (!held) return true;
  if (offered.epoch !== held.epoch) return offered.epoch > held.epoch;
  return offered.sequence > held.sequence;
}

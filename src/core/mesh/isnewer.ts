import type { MeshVersion } from './meshversion.js';

/** Whether a record may replace the one that is held. Equal versions are the same record. */
export function isNewer(offered: MeshVersion, held: MeshVersion | undefined): boolean {
  if (!held) return true;
  if (offered.epoch !== held.epoch) return offered.epoch > held.epoch;
  return offered.sequence > held.sequence;
}

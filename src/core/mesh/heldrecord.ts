import type { Ms } from '../../base/index.js';
import type { MeshRecord } from './meshrecord.js';

/** A record as this process holds it. */
export interface HeldRecord extends MeshRecord {
  readonly adoptedAtMs: Ms;
}

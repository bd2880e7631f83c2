import type { Ms } from '../../base/index.js';
import type { MeshRecord } from './meshrecord.js';

/** A record in this process's table, with the time at which it was adopted. */
export interface HeldRecord extends MeshRecord {
  readonly adoptedAtMs: Ms;
}

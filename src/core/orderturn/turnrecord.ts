import type { HostId, Ms } from '../../base/index.js';

/** What the store says of the right to give orders. Only the last process that took it is named. */
export interface TurnRecord {
  readonly host: HostId;
  /** Where other entries reach the holder. */
  readonly address: string;
  /** Names one start of a process. */
  readonly nonce: string;
  /**
   * When the holder sent this, by its own steady clock: the right counts from then, whichever of its
   * writes took effect. It means nothing to others.
   */
  readonly sentAtMs: Ms;
  /** False while the holder still waits for the one before to be out of the way. */
  readonly isActive: boolean;
  /** True once the holder has given the right up; it gives no order after that. */
  readonly isReleased: boolean;
  /** How many entries the holder has heard of lately, and into how many parts they cut what they share. */
  readonly entries?: { readonly count: number; readonly parts: number };
}

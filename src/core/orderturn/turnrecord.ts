import type { HostId } from '../../base/index.js';

/** What the store says of the right to give orders. Only the last process that took it is named. */
export interface TurnRecord {
  readonly host: HostId;
  /** Where other entries reach the holder. */
  readonly address: string;
  /** Names one start of a process. */
  readonly nonce: string;
  /** Counts renewals. */
  readonly beat: number;
  /** False while the holder still waits for the one before to be out of the way. */
  readonly isActive: boolean;
  /** True once the holder has given the right up; it gives no order after that. */
  readonly isReleased: boolean;
}

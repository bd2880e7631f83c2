import type { HostId, Ms } from '../../base/index.js';

/** The order lease as stored; names the last process that took it. */
export interface OrderLeaseRecord {
  readonly host: HostId;
  /** Address at which other entries reach the holder. */
  readonly address: string;
  /** Identifies one run of a process. */
  readonly nonce: string;
  /**
   * When the holder sent this write, by its own monotonic clock. The lease is valid from then, whichever of its
   * writes took effect. Meaningless to other processes.
   */
  readonly sentAtMs: Ms;
  /** False while the holder still waits until no order of its predecessor can be in flight. */
  readonly isActive: boolean;
  /** True once the holder has released the lease; it sends no order after that. */
  readonly isReleased: boolean;
  /** Number of entries that reported to the holder lately, and of the parts into which shared budgets are divided. */
  readonly entries?: { readonly count: number; readonly parts: number };
  /** Version of the configuration in force at the holder, for entries that start. */
  readonly table?: number;
}

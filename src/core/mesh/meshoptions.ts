import type { Ms } from '../../base/index.js';

/** Parameters of the dissemination; every process of a region should use the same values. */
export interface MeshOptions {
  /** Children of a node in the fan-out tree; 1 makes it a chain, a large number a star. */
  readonly degree: number;
  /** Entries of a region that watch the store. */
  readonly relayCount: number;
  readonly pullIntervalMs: Ms;
  /** Interval between pulls while this process catches up. */
  readonly catchUpPullIntervalMs: Ms;
  /** Interval between pulls that compare the versions of all records. */
  readonly fullPullIntervalMs: Ms;
  /** Maximum time to catch up; after it the process serves in phase `uncertain`. */
  readonly catchUpWaitMs: Ms;
  /** Caught-up peers that must have answered before a process counts as caught up. */
  readonly catchUpPeers: number;
  /** Interval at which queued upstream records are pushed in batches. */
  readonly flushIntervalMs: Ms;
  /** Maximum rate at which one process pushes upstream records, before compression. */
  readonly flushBytesPerSecond: number;
  /** Bytes that may be pushed at once after an idle time, for example when many sidecars start together. */
  readonly flushBurstBytes: number;
  /** Time for which a peer that did not answer is avoided. */
  readonly suspectMs: Ms;
  /** Time after which an unanswered pull counts as failed. */
  readonly pullTimeoutMs: Ms;
  /** Minimum time between two prompted pulls (a peer is known to hold more, or showed a higher revision). */
  readonly promptGapMs: Ms;
  /** Initial backoff after a store failure; doubles up to `storeRetryMaxMs`. */
  readonly storeRetryMs: Ms;
  readonly storeRetryMaxMs: Ms;
  /** Interval at which a relay lists the store again even while its watch works. */
  readonly resyncMs: Ms;
  /** Time after which the record of an upstream whose host is not listed is dropped. */
  readonly expiryMs: Ms;
  /** Dropped upstream records whose versions are kept as tombstones. */
  readonly tombstoneCount: number;
  /**
   * Maximum size of one answer to a pull; it always holds at least one record. The answer has to arrive within the
   * time-out of a call (300 ms), as one that does not is discarded and asked for again: this much needs 3.5 Mbit/s.
   */
  readonly batchBytes: number;
  /** Entries that a sidecar exchanges records with. */
  readonly sidecarEntries: number;
  /** Other sidecars of its service that a sidecar pulls from. */
  readonly sidecarPeers: number;
}

import type { Ms } from '../../base/index.js';

/** Tuning of the dissemination; every process of a region should use the same. */
export interface MeshOptions {
  /** Children of a node in the fan-out tree. 1 makes it a chain, a large number a star. */
  readonly degree: number;
  /** Entries of a region that hold a watch on the store. */
  readonly relayCount: number;
  readonly pullIntervalMs: Ms;
  /** Between two pulls while this process catches up. */
  readonly catchUpPullIntervalMs: Ms;
  /** Between two pulls that compare the versions of all records. */
  readonly fullPullIntervalMs: Ms;
  /** Longest wait to catch up; after it the process serves, and says that it is uncertain. */
  readonly catchUpWaitMs: Ms;
  /** Peers that must have answered before a process counts as caught up. */
  readonly catchUpPeers: number;
  /** Collects records of upstreams before they are passed on. */
  readonly flushIntervalMs: Ms;
  /** Bound on the records of upstreams that one node passes on, before compression. */
  readonly flushBytesPerSecond: number;
  /** Bytes that may be passed on at once after a quiet time, as when many sidecars start together. */
  readonly flushBurstBytes: number;
  /** How long a peer that did not answer is passed by. */
  readonly suspectMs: Ms;
  /** A pull that has not been answered for so long is given up. */
  readonly pullTimeoutMs: Ms;
  /** Least time between two pulls that a higher revision seen on a call asks for. */
  readonly promptGapMs: Ms;
  /** Delay before the store is asked again; doubles up to `storeRetryMaxMs`. */
  readonly storeRetryMs: Ms;
  readonly storeRetryMaxMs: Ms;
  /** A relay lists the store anew so often, whatever its watch says. */
  readonly resyncMs: Ms;
  /** Age at which the record of an upstream is dropped when its host is not listed. */
  readonly expiryMs: Ms;
  /** Dropped records whose versions are remembered. */
  readonly tombstoneCount: number;
  /** Size of one answer to a pull; at least one record always fits. */
  readonly batchBytes: number;
  /** Entries that a sidecar speaks to. */
  readonly sidecarEntries: number;
  /** Sidecars of its service that a sidecar speaks to. */
  readonly sidecarPeers: number;
}

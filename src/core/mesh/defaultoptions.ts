import type { MeshOptions } from './meshoptions.js';

/** Defaults; docs/design/dissemination.md has the measurements behind them. */
export const defaultOptions: MeshOptions = {
  degree: 4,
  relayCount: 2,
  pullIntervalMs: 1000,
  catchUpPullIntervalMs: 100,
  fullPullIntervalMs: 30_000,
  catchUpWaitMs: 10_000,
  catchUpPeers: 2,
  flushIntervalMs: 250,
  flushBytesPerSecond: 40_000,
  flushBurstBytes: 2_000_000,
  suspectMs: 5000,
  pullTimeoutMs: 1000,
  promptGapMs: 100,
  storeRetryMs: 200,
  storeRetryMaxMs: 2000,
  resyncMs: 60_000,
  expiryMs: 600_000,
  tombstoneCount: 4096,
  batchBytes: 131_072,
  sidecarEntries: 3,
  sidecarPeers: 4,
};

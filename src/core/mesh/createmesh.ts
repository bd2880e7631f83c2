import type { Ms } from '../../base/index.js';
import { defaultOptions } from './defaultoptions.js';
import type { MeshOptions } from './meshoptions.js';
import type { MeshSelf } from './meshself.js';
import type { MeshState } from './meshstate.js';

/** Returns the state of a process that has just started and holds no records. */
export function createMesh(
  self: MeshSelf,
  seed: number,
  nowMs: Ms,
  options: Partial<MeshOptions> = {},
): MeshState {
  const all = { ...defaultOptions, ...options };
  return {
    options: all,
    self,
    seed,
    drawCount: 0,
    startedAtMs: nowMs,
    hostsKnown: !self.hasHostList,
    entries: [],
    listedAtMs: new Map(),
    records: new Map(),
    revision: 0,
    documentsHash: 0,
    pending: new Map(),
    nextFlushAtMs: nowMs,
    allowanceBytes: all.flushBurstBytes,
    suspects: new Map(),
    pull: {
      nextAtMs: nowMs,
      nextFullAtMs: nowMs,
      lastPromptAtMs: nowMs - all.promptGapMs,
      prompts: new Map(),
      checkedRevision: 0,
    },
    catchUp: { phase: 'joining', readyPeers: [], anyAnswer: false, storeListed: false },
    store: {
      phase: 'closed',
      revision: 0,
      listedRevision: 0,
      failureCount: 0,
      retryAtMs: nowMs,
      resyncAtMs: nowMs,
    },
    nextExpiryAtMs: nowMs,
  };
}

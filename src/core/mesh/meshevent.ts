import type { MeshBatch } from './meshbatch.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshHost } from './meshhost.js';
import type { MeshRecord } from './meshrecord.js';

/** Inputs of the dissemination core of one process. */
export type MeshEvent =
  | { readonly type: 'tick' }
  /** The listener of this process has opened. */
  | { readonly type: 'listening'; readonly address: string }
  | {
      readonly type: 'hostList';
      readonly entries: readonly MeshHost[];
      /** Ids of all listed hosts of the region, entries and others. */
      readonly listedIds: readonly string[];
    }
  | { readonly type: 'published'; readonly record: MeshRecord }
  | { readonly type: 'pushArrived'; readonly callId: number; readonly batch: MeshBatch }
  | { readonly type: 'pushAnswered'; readonly to: string; readonly revision: number }
  | { readonly type: 'pushFailed'; readonly to: string; readonly keys: readonly string[] }
  | { readonly type: 'pullArrived'; readonly callId: number; readonly digest: MeshDigest }
  | { readonly type: 'pullAnswered'; readonly from: string; readonly batch: MeshBatch }
  | { readonly type: 'pullFailed'; readonly from: string }
  | { readonly type: 'revisionSeen'; readonly revision: number; readonly from: string }
  | {
      readonly type: 'storeListed';
      readonly records: readonly MeshRecord[];
      readonly revision: number;
    }
  | { readonly type: 'storeFailed' }
  | { readonly type: 'watchTold'; readonly record: MeshRecord }
  | { readonly type: 'watchEnded'; readonly compacted: boolean };

import type { MeshBatch } from './meshbatch.js';
import type { MeshDigest } from './meshdigest.js';
import type { MeshRecord } from './meshrecord.js';

/** Actions that the shell executes. */
export type MeshEffect =
  /** Notifies local subscribers of records now in force; an empty value means deleted. */
  | { readonly type: 'adopted'; readonly records: readonly MeshRecord[] }
  | { readonly type: 'push'; readonly to: string; readonly batch: MeshBatch }
  | { readonly type: 'pull'; readonly to: string; readonly digest: MeshDigest }
  | { readonly type: 'answerPush'; readonly callId: number; readonly digest: MeshDigest }
  | { readonly type: 'answerPull'; readonly callId: number; readonly batch: MeshBatch }
  | { readonly type: 'listStore' }
  | { readonly type: 'openWatch'; readonly fromRevision: number }
  | { readonly type: 'closeWatch' }
  | { readonly type: 'caughtUp'; readonly phase: 'current' | 'uncertain' };

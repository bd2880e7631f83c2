import type { Ms } from '../../base/index.js';
import { adopt } from './adopt.js';
import { clearSuspect } from './clearsuspect.js';
import { digestOf } from './digestof.js';
import type { MeshBatch } from './meshbatch.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { propagate } from './propagate.js';

/** Handles pushed records: adopts and propagates the newer ones, and answers with a light digest. */
export function onPushArrived(
  state: MeshState,
  event: { readonly callId: number; readonly batch: MeshBatch },
  nowMs: Ms,
): MeshChange {
  const { host, records } = event.batch;
  const { state: held, adopted } = adopt(clearSuspect(state, host), records, nowMs);
  const change = propagate(held, adopted, host, nowMs);
  const digest = digestOf(change.state, ['document/'], true);
  const answer = { type: 'answerPush' as const, callId: event.callId, digest };
  return { state: change.state, effects: [answer, ...change.effects] };
}

import type { Ms } from '../../base/index.js';
import { batchOf } from './batchof.js';
import type { MeshChange } from './meshchange.js';
import type { MeshEffect } from './mesheffect.js';
import type { HeldRecord } from './heldrecord.js';
import type { MeshState } from './meshstate.js';

const MS_PER_SECOND = 1000;
/** Approximate size on the wire of a record's fields other than key and value. */
const RECORD_OVERHEAD_BYTES = 24;

function sizeOf(record: HeldRecord): number {
  return record.key.length + record.value.length + RECORD_OVERHEAD_BYTES;
}

/**
 * Pushes queued upstream records to neighbours, within the byte rate of this process (a token bucket).
 * Only the newest version of a record is sent; the rest stays queued for the next flush.
 */
export function flush(state: MeshState, nowMs: Ms): MeshChange {
  if (nowMs < state.nextFlushAtMs) return { state, effects: [] };
  const { flushIntervalMs, flushBytesPerSecond, flushBurstBytes } = state.options;
  const earned = (flushBytesPerSecond * flushIntervalMs) / MS_PER_SECOND;
  let allowanceBytes = Math.min(flushBurstBytes, state.allowanceBytes + earned);
  const pending = new Map<string, ReadonlySet<string>>();
  const effects: MeshEffect[] = [];
  for (const [to, keys] of state.pending) {
    const records: HeldRecord[] = [];
    const left = new Set(keys);
    for (const key of keys) {
      if (allowanceBytes <= 0) break;
      left.delete(key);
      const record = state.records.get(key);
      if (!record) continue;
      allowanceBytes -= sizeOf(record);
      records.push(record);
    }
    if (left.size > 0) pending.set(to, left);
    if (records.length > 0) effects.push({ type: 'push', to, batch: batchOf(state, records) });
  }
  const nextFlushAtMs = nowMs + flushIntervalMs;
  return { state: { ...state, pending, allowanceBytes, nextFlushAtMs }, effects };
}

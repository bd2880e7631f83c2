import type { Ms } from '../../base/index.js';
import type { HeldRecord } from './heldrecord.js';
import { isDocument } from './isdocument.js';
import type { MeshChange } from './meshchange.js';
import type { MeshState } from './meshstate.js';
import { adoptedEffect } from './adoptedeffect.js';

const CHECK_INTERVAL_MS = 10_000;
const EMPTY = new Uint8Array(0);

function isOver(state: MeshState, record: HeldRecord, nowMs: Ms): boolean {
  if (isDocument(record.key) || record.value.length === 0 || record.origin === '') return false;
  if (record.origin === state.self.id) return false;
  const listedAtMs = state.listedAtMs.get(record.origin) ?? record.adoptedAtMs;
  const aliveAtMs = Math.max(record.adoptedAtMs, listedAtMs);
  return nowMs - aliveAtMs >= state.options.expiryMs;
}

/** Returns the keys of the oldest upstream tombstones above `tombstoneCount`. */
function excessTombstones(state: MeshState): readonly string[] {
  const tombstones = [...state.records.values()].filter(
    ({ key, value }) => value.length === 0 && !isDocument(key),
  );
  const excess = tombstones.length - state.options.tombstoneCount;
  if (excess <= 0) return [];
  tombstones.sort((a, b) => a.adoptedAtMs - b.adoptedAtMs);
  return tombstones.slice(0, excess).map(({ key }) => key);
}

/**
 * Drops the records of upstreams whose host has been off the host list for `expiryMs`, provided that the list has been
 * read. Their versions stay as tombstones, up to `tombstoneCount`, so that a peer that was partitioned off cannot
 * reintroduce an older incarnation.
 */
export function expire(state: MeshState, nowMs: Ms): MeshChange {
  if (nowMs < state.nextExpiryAtMs || state.listedAtMs.size === 0) return { state, effects: [] };
  const nextExpiryAtMs = nowMs + CHECK_INTERVAL_MS;
  const over = [...state.records.values()].filter((record) => isOver(state, record, nowMs));
  const old = excessTombstones(state);
  if (over.length + old.length === 0) return { state: { ...state, nextExpiryAtMs }, effects: [] };
  const records = new Map(state.records);
  const emptied = over.map((record) => ({ ...record, value: EMPTY, adoptedAtMs: nowMs }));
  for (const record of emptied) records.set(record.key, record);
  for (const key of old) records.delete(key);
  return { state: { ...state, records, nextExpiryAtMs }, effects: adoptedEffect(emptied) };
}

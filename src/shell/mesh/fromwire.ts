import type { MeshBatch, MeshRecord } from '../../core/mesh/index.js';
import type { Record, RecordBatch } from '../../wire/index.js';
import { sidecarAddressesOf } from './sidecaraddressesof.js';

const DOCUMENTS = 'document/';

function recordFrom({ key, epoch, sequence, value, origin }: Record): MeshRecord {
  const record = { key, epoch, sequence, value, origin };
  if (!key.startsWith(DOCUMENTS) || value.length === 0) return record;
  return { ...record, members: sidecarAddressesOf(value.toString()) };
}

/**
 * Converts a received batch to the type of the core. Records for which `isHeld` is true, because the local copy is at
 * least as new, are left out: that saves parsing their documents.
 */
export function fromWire(batch: RecordBatch, isHeld: (record: Record) => boolean): MeshBatch {
  const { host, revision, hash, caughtUp, truncated } = batch;
  const records = batch.records.filter((record) => !isHeld(record)).map(recordFrom);
  return { host, revision, hash, records, caughtUp, truncated };
}

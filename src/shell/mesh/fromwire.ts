import type { MeshBatch, MeshRecord } from '../../core/mesh/index.js';
import type { Record, RecordBatch } from '../../wire/index.js';
import { membersOf } from './membersof.js';

const DOCUMENTS = 'document/';

function recordFrom({ key, epoch, sequence, value, origin }: Record): MeshRecord {
  const record = { key, epoch, sequence, value, origin };
  if (!key.startsWith(DOCUMENTS) || value.length === 0) return record;
  return { ...record, members: membersOf(value.toString()) };
}

/**
 * Turns a received batch into the core's. Documents that are not newer than what is held (`isHeld`) are
 * not read for their members.
 */
export function fromWire(batch: RecordBatch, isHeld: (record: Record) => boolean): MeshBatch {
  const { host, revision, hash, caughtUp, truncated } = batch;
  const records = batch.records.filter((record) => !isHeld(record)).map(recordFrom);
  return { host, revision, hash, records, caughtUp, truncated };
}

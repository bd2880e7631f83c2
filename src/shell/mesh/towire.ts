import type { MeshBatch } from '../../core/mesh/index.js';
import type { RecordBatch } from '../../wire/index.js';

/** Converts a batch of the core to its wire message. */
export function toWire(batch: MeshBatch): RecordBatch {
  const records = batch.records.map(({ key, epoch, sequence, value, origin }) => ({
    key,
    epoch,
    sequence,
    origin,
    value: value as Buffer,
  }));
  return { ...batch, records };
}

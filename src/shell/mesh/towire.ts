import type { MeshBatch } from '../../core/mesh/index.js';
import type { RecordBatch } from '../../wire/index.js';

/** Turns a batch of the core into the message that carries it. */
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

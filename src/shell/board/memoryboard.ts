import type { Revision } from '../../base/index.js';
import type { Board } from './board.js';
import type { BoardRecord } from './boardrecord.js';

const DOCUMENTS = 'document/';

function isNewer(record: BoardRecord, held: BoardRecord | undefined): boolean {
  if (!held) return true;
  if (record.epoch !== held.epoch) return record.epoch > held.epoch;
  return record.sequence > held.sequence;
}

/** Board of a single process, without replication. */
export class MemoryBoard implements Board {
  private readonly records = new Map<string, BoardRecord>();

  private readonly listeners = new Set<(record: BoardRecord) => void>();

  get(key: string): BoardRecord | undefined {
    return this.records.get(key);
  }

  list(prefix: string): readonly BoardRecord[] {
    return [...this.records.values()].filter(({ key }) => key.startsWith(prefix));
  }

  publish(record: BoardRecord): void {
    if (!isNewer(record, this.records.get(record.key))) return;
    this.records.set(record.key, record);
    for (const listener of this.listeners) listener(record);
  }

  onChange(prefix: string, notify: (record: BoardRecord) => void): () => void {
    const listener = (record: BoardRecord) => {
      if (record.key.startsWith(prefix)) notify(record);
    };
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  revision(service?: string): Revision {
    if (service !== undefined) {
      return (this.records.get(`${DOCUMENTS}${service}`)?.sequence ?? 0) as Revision;
    }
    const sequences = this.list(DOCUMENTS).map(({ sequence }) => sequence);
    return Math.max(0, ...sequences) as Revision;
  }

  revisionForSidecar(): Revision {
    return this.revision();
  }

  observeRevision(): void {}

  caughtUp(): boolean {
    return true;
  }
}

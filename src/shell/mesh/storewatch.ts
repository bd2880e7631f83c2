import type { Revision } from '../../base/index.js';
import { serviceKey } from '../../core/acceptance/index.js';
import type { MeshEvent, MeshRecord } from '../../core/mesh/index.js';
import type { KeyValueStore, WatchEvent } from '../../port/index.js';
import { recordOf } from './recordof.js';

const EMPTY = new Uint8Array(0);

/** A relay's side of the store: lists and watches the documents, and tells the core. */
export class StoreWatch {
  private stopWatch: () => void = () => {};

  /** Prefix of the own region's keys in the store. */
  private readonly prefix: string;

  constructor(
    private readonly store: KeyValueStore,
    private readonly region: string,
    private readonly tell: (event: MeshEvent) => void,
  ) {
    this.prefix = serviceKey.under(region);
  }

  async list(): Promise<void> {
    const listed = await this.store.list(this.prefix);
    if (listed.err) {
      this.tell({ type: 'storeFailed' });
      return;
    }
    const { items, revision } = listed.val;
    const records = items.map((item) => recordOf(item, this.prefix, this.region));
    this.tell({ type: 'storeListed', records, revision });
  }

  open(fromRevision: number): void {
    this.close();
    let open = true;
    const stop = this.store.watch(this.prefix, fromRevision as Revision, (event) => {
      if (!open) return;
      if (event.type === 'ended') open = false;
      this.carry(event);
    });
    this.stopWatch = () => {
      open = false;
      stop();
    };
  }

  close(): void {
    this.stopWatch();
    this.stopWatch = () => {};
  }

  private carry(event: WatchEvent): void {
    if (event.type === 'ended') {
      const compacted = event.failure.type === 'store-compacted';
      this.tell({ type: 'watchEnded', compacted });
      return;
    }
    this.tell({ type: 'watchTold', record: this.recordFrom(event) });
  }

  private recordFrom(event: Exclude<WatchEvent, { type: 'ended' }>): MeshRecord {
    if (event.type === 'put') return recordOf(event.item, this.prefix, this.region);
    const key = `document/${event.key.slice(this.prefix.length)}`;
    return { key, epoch: 0, sequence: event.revision, value: EMPTY, origin: '' };
  }
}

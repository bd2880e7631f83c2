import type { Revision } from '../../base/index.js';
import { serviceKey } from '../../core/acceptance/index.js';
import type { MeshEvent, MeshRecord } from '../../core/mesh/index.js';
import type { KeyValueStore, WatchEvent } from '../../port/index.js';
import { recordOf } from './recordof.js';

const EMPTY = new Uint8Array(0);

/** Lists and watches the documents in the store on behalf of a relay, and emits the results as mesh events. */
export class StoreWatch {
  private stopWatch: () => void = () => {};

  /** Key prefix of this region's documents in the store. */
  private readonly prefix: string;

  constructor(
    private readonly store: KeyValueStore,
    private readonly region: string,
    private readonly emit: (event: MeshEvent) => void,
  ) {
    this.prefix = serviceKey.under(region);
  }

  async list(): Promise<void> {
    const listed = await this.store.list(this.prefix);
    if (listed.err) {
      this.emit({ type: 'storeFailed' });
      return;
    }
    const { items, revision } = listed.val;
    const records = items.map((item) => recordOf(item, this.prefix, this.region));
    this.emit({ type: 'storeListed', records, revision });
  }

  open(fromRevision: number): void {
    this.close();
    let open = true;
    const stop = this.store.watch(this.prefix, fromRevision as Revision, (event) => {
      if (!open) return;
      if (event.type === 'ended') open = false;
      this.emitWatchEvent(event);
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

  private emitWatchEvent(event: WatchEvent): void {
    if (event.type === 'ended') {
      const compacted = event.failure.type === 'store-compacted';
      this.emit({ type: 'watchEnded', compacted });
      return;
    }
    this.emit({ type: 'watchTold', record: this.recordFrom(event) });
  }

  private recordFrom(event: Exclude<WatchEvent, { type: 'ended' }>): MeshRecord {
    if (event.type === 'put') return recordOf(event.item, this.prefix, this.region);
    const key = `document/${event.key.slice(this.prefix.length)}`;
    return { key, epoch: 0, sequence: event.revision, value: EMPTY, origin: '' };
  }
}

import type { Clock } from '../../base/index.js';
import { copyHolders, type Member } from '../../core/origin/index.js';
import type { OriginCopy } from './origincopy.js';

interface CopyOutboxOptions {
  readonly clock: Clock;
  readonly entry: string;
  readonly members: () => readonly Member[];
  /** Sends copies to another entry. Returns false if it did not answer. */
  readonly send: (address: string, copies: readonly OriginCopy[]) => Promise<boolean>;
  /** Counts copies by outcome. */
  readonly count: (outcome: 'sent' | 'failed', copies: number) => void;
}

/** Copies for one entry. */
interface Batch {
  readonly first: OriginCopy[];
  /** Copies that could not be sent before, and are not sent once more. */
  readonly again: OriginCopy[];
}

/** Copies wait this long for others to the same entry. First events come some tens of ms after a request is sent. */
const BATCH_MS = 10;
const COPIES = 2;
/** A copy that has no other entry to go to is sent again after this time: a call fails at once while an entry restarts. */
const AGAIN_MS = 1000;

/** Sends copies of streams' origins to other entries, several in a call. Each copy that fails is sent once more. */
export class CopyOutbox {
  private readonly waiting = new Map<string, Batch>();

  private isDue = false;

  constructor(private readonly options: CopyOutboxOptions) {}

  add(copy: OriginCopy): void {
    for (const address of this.addressesOf(copy).slice(0, COPIES)) {
      this.batchOf(address).first.push(copy);
    }
    this.schedule();
  }

  /** Returns the entries that are asked for the origin, apart from this one. */
  private addressesOf({ id }: OriginCopy): string[] {
    const { entry, members } = this.options;
    const holders = copyHolders(id, members()).filter((holder) => holder.entry !== entry);
    return holders.map(({ address }) => address);
  }

  private batchOf(address: string): Batch {
    let batch = this.waiting.get(address);
    if (!batch) {
      batch = { first: [], again: [] };
      this.waiting.set(address, batch);
    }
    return batch;
  }

  private schedule(): void {
    if (this.isDue || this.waiting.size === 0) return;
    this.isDue = true;
    this.options.clock.after(BATCH_MS, () => this.flush());
  }

  private flush(): void {
    this.isDue = false;
    for (const [address, batch] of this.waiting) void this.send(address, batch);
    this.waiting.clear();
  }

  private async send(address: string, { first, again }: Batch): Promise<void> {
    const { send, count } = this.options;
    const copies = [...first, ...again];
    const isSent = await send(address, copies);
    count(isSent ? 'sent' : 'failed', copies.length);
    if (!isSent) this.sendAgain(address, first);
  }

  /** Sends copies to the entry that is asked besides those that were to get them, or else to the same one. */
  private sendAgain(failed: string, copies: readonly OriginCopy[]): void {
    const left: OriginCopy[] = [];
    for (const copy of copies) {
      const [spare] = this.addressesOf(copy).slice(COPIES);
      const again = spare === undefined || spare === failed ? left : this.batchOf(spare).again;
      if (again.includes(copy)) left.push(copy);
      else again.push(copy);
    }
    this.schedule();
    if (left.length === 0) return;
    this.options.clock.after(AGAIN_MS, () => {
      this.batchOf(failed).again.push(...left);
      this.schedule();
    });
  }
}

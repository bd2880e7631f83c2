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

/** Copies wait this long for others to the same entry. First events come some tens of ms after a request is sent. */
const BATCH_MS = 10;
const COPIES = 2;

/** Sends copies of streams' origins to other entries, several in a call. */
export class CopyOutbox {
  private readonly waiting = new Map<string, OriginCopy[]>();

  private isDue = false;

  constructor(private readonly options: CopyOutboxOptions) {}

  add(copy: OriginCopy): void {
    const { clock, entry, members } = this.options;
    const holders = copyHolders(copy.id, members()).filter((holder) => holder.entry !== entry);
    for (const { address } of holders.slice(0, COPIES)) {
      const copies = this.waiting.get(address);
      if (copies) copies.push(copy);
      else this.waiting.set(address, [copy]);
    }
    if (this.isDue) return;
    this.isDue = true;
    clock.after(BATCH_MS, () => this.flush());
  }

  private flush(): void {
    this.isDue = false;
    for (const [address, copies] of this.waiting) void this.send(address, copies);
    this.waiting.clear();
  }

  private async send(address: string, copies: readonly OriginCopy[]): Promise<void> {
    const { send, count } = this.options;
    const isSent = await send(address, copies);
    count(isSent ? 'sent' : 'failed', copies.length);
  }
}

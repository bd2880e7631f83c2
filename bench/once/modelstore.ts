import type { Network, Process } from './network.js';

interface Item {
  readonly value: string;
  readonly lapsesAtMs: number;
}

/** What a call to the store gave. */
export type StoreAnswer =
  | { readonly type: 'done' }
  | { readonly type: 'found'; readonly value: string | undefined; readonly runs: number }
  | { readonly type: 'failed' };

/** A call to the store. */
interface Ask {
  readonly from: Process;
  readonly key: string;
  /** How often the request of this key has run, for the witness. */
  readonly runs: () => number;
  /** Called when this call has created the key. */
  readonly created: () => void;
  readonly done: (answer: StoreAnswer | undefined) => void;
}

/** The key-value service: one order of writes, outages, leases, and answers that come late or never. */
export class ModelStore implements Process {
  alive = true;

  paused = false;

  up = true;

  private readonly items = new Map<string, Item>();

  constructor(
    private readonly network: Network,
    private readonly nowMs: () => number,
  ) {}

  /** Creates a key that does not exist, for as long as its lease lives. */
  create(ask: Ask, value: string, lapsesAtMs: number): void {
    this.call('create', ask, () => {
      const held = this.get(ask.key);
      if (held !== undefined) return { type: 'found', value: held, runs: ask.runs() };
      if (lapsesAtMs <= this.nowMs()) return { type: 'failed' };
      this.items.set(ask.key, { value, lapsesAtMs });
      ask.created();
      return { type: 'done' };
    });
  }

  read(ask: Ask): void {
    this.call('read', ask, () => ({ type: 'found', value: this.get(ask.key), runs: ask.runs() }));
  }

  private get(key: string): string | undefined {
    const item = this.items.get(key);
    return item && item.lapsesAtMs > this.nowMs() ? item.value : undefined;
  }

  private call(verb: string, { from, key, done }: Ask, act: () => StoreAnswer): void {
    const serve = (reply: (answer: StoreAnswer) => void) =>
      reply(this.up ? act() : { type: 'failed' });
    this.network.call({ label: `${verb} ${key}`, from, to: this, serve, done });
  }
}

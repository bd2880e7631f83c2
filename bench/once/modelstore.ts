import type { Network, Process } from './network.js';

interface Item {
  readonly value: string;
  readonly expiresAtMs: number;
}

/** Answer of a store call. */
export type StoreAnswer =
  | { readonly type: 'done' }
  | { readonly type: 'found'; readonly value: string | undefined; readonly runs: number }
  | { readonly type: 'failed' };

/** A store call. */
interface StoreCall {
  readonly from: Process;
  readonly key: string;
  /** How often the request of this key has run, for the oracle. */
  readonly runs: () => number;
  /** Called when this call has created the key. */
  readonly created: () => void;
  readonly done: (answer: StoreAnswer | undefined) => void;
}

/** A model of the key-value store: writes in one order, leases, outages, and answers that are late or lost. */
export class ModelStore implements Process {
  alive = true;

  paused = false;

  up = true;

  private readonly items = new Map<string, Item>();

  constructor(
    private readonly network: Network,
    private readonly nowMs: () => number,
  ) {}

  /** Creates a key if it does not exist; it lapses with its lease. */
  create(ask: StoreCall, value: string, expiresAtMs: number): void {
    this.call('create', ask, () => {
      const held = this.get(ask.key);
      if (held !== undefined) return { type: 'found', value: held, runs: ask.runs() };
      if (expiresAtMs <= this.nowMs()) return { type: 'failed' };
      this.items.set(ask.key, { value, expiresAtMs });
      ask.created();
      return { type: 'done' };
    });
  }

  read(ask: StoreCall): void {
    this.call('read', ask, () => ({ type: 'found', value: this.get(ask.key), runs: ask.runs() }));
  }

  private get(key: string): string | undefined {
    const item = this.items.get(key);
    return item && item.expiresAtMs > this.nowMs() ? item.value : undefined;
  }

  private call(verb: string, { from, key, done }: StoreCall, act: () => StoreAnswer): void {
    const serve = (reply: (answer: StoreAnswer) => void) =>
      reply(this.up ? act() : { type: 'failed' });
    this.network.call({ label: `${verb} ${key}`, from, to: this, serve, done });
  }
}

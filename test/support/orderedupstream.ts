import type { Clock, ModelId, Ms, UpstreamId } from '../../src/base/index.js';
import type { ServiceSpec } from '../../src/core/routetable/index.js';
import type { UpstreamLink } from '../../src/port/index.js';

type Engine = NonNullable<ServiceSpec['engine']>;
type Order = Parameters<UpstreamLink['order']>[0];
type Outcome = Awaited<ReturnType<UpstreamLink['order']>>;
type Report = NonNullable<Awaited<ReturnType<UpstreamLink['report']>>>;

interface OrderedUpstreamOptions {
  readonly id: UpstreamId;
  readonly engine: Engine;
  readonly clock: Clock;
  /** Models held at the start. */
  readonly models: readonly ModelId[];
  /** Age of the content of a report. */
  readonly reportLagMs: Ms;
  /** True if the models of a report have that age, and its count of orders is current. */
  readonly hasOldModels: boolean;
  /** True if an unload of what is not held leaves the count of orders as it is. */
  readonly hasUncountedUnloads: boolean;
  /** Duration of the next unload of a model or adapter, which waits for its runs; 0: none runs. */
  readonly unloadMs: () => Ms;
  /** Called when the upstream begins and ends an order about a model, as it then rewrites its record. */
  readonly changed: (upstream: OrderedUpstream) => void;
}

const ADAPTER_LOAD_MS = 10;
const RESTART_MS = 1000;

/** An engine that carries out orders as the platform's servers do, and records orders that overfill it. */
export class OrderedUpstream {
  readonly id: UpstreamId;

  /** Orders that it had no room for. */
  readonly overfills: string[] = [];

  acceptedLoads = 0;

  startedAtMs: Ms = 0;

  private models = new Map<ModelId, Set<string>>();

  private orderCount = 0;

  private isBusy = false;

  private downUntilMs: Ms = -Infinity;

  /** Past states, the newest last. */
  private history: { readonly atMs: Ms; readonly report: Report }[] = [];

  constructor(private readonly options: OrderedUpstreamOptions) {
    this.id = options.id;
    for (const model of options.models) this.models.set(model, new Set());
    this.note();
  }

  get isDown(): boolean {
    return this.options.clock.nowMs() < this.downUntilMs;
  }

  /** Returns a copy of what it holds now. */
  held(): Report['models'] {
    const copies = [...this.models].map(
      ([model, adapters]) => [model, { version: 1, adapters: new Set(adapters) }] as const,
    );
    return new Map(copies);
  }

  report(): Report {
    const fromMs = this.options.clock.nowMs() - this.options.reportLagMs;
    const past = this.history.filter(({ atMs }) => atMs <= fromMs);
    const old = (past.at(-1) ?? this.history[0]!).report;
    const { orderCount, isBusy } = this;
    return this.options.hasOldModels ? { ...old, orderCount, isBusy } : old;
  }

  /** Loses all models and its count of orders. */
  restart(): void {
    const nowMs = this.options.clock.nowMs();
    Object.assign(this, { models: new Map(), orderCount: 0, isBusy: false, history: [] });
    this.startedAtMs = Math.round(nowMs);
    this.downUntilMs = nowMs + RESTART_MS;
    this.note();
  }

  take(order: Order): Outcome {
    const { action, model, adapter, expectedOrderCount } = order;
    if (this.isBusy || expectedOrderCount !== this.orderCount) return 'conflict';
    if (adapter !== undefined) {
      return action === 'load' ? this.loadAdapter(model, adapter) : this.unload(model, adapter);
    }
    return action === 'load' ? this.loadModel(order) : this.unload(model);
  }

  private loadModel({ model }: Order): Outcome {
    if (this.models.has(model)) return 'done';
    const { engine } = this.options;
    const spec = engine.models.get(model)!;
    if (this.usedMb() + spec.sizeMb > engine.weightsMb) return this.overfill(`model ${model}`);
    this.begin(spec.diskLoadMs, () => this.models.set(model, new Set()));
    this.acceptedLoads += 1;
    return 'accepted';
  }

  private loadAdapter(model: ModelId, adapter: string): Outcome {
    const adapters = this.models.get(model);
    if (!adapters) return 'rejected';
    if (adapters.has(adapter)) return 'done';
    const { engine } = this.options;
    const count = [...this.models.values()].reduce((sum, { size }) => sum + size, 0);
    const sizeMb = engine.models.get(model)!.adapterSizeMb;
    const isFull = count + 1 > engine.adapterSlots;
    if (isFull || this.usedMb() + sizeMb > engine.weightsMb) {
      return this.overfill(`adapter ${model}/${adapter}`);
    }
    // An adapter takes its slot while it is being loaded.
    adapters.add(adapter);
    this.orderCount += 1;
    this.acceptedLoads += 1;
    this.note();
    this.options.clock.after(ADAPTER_LOAD_MS, () => this.note());
    return 'accepted';
  }

  private unload(model: ModelId, adapter?: string): Outcome {
    const adapters = this.models.get(model);
    const isThere = adapter === undefined ? adapters !== undefined : adapters?.has(adapter);
    const waitMs = this.options.unloadMs();
    if (isThere && adapter === undefined) {
      this.begin(waitMs, () => this.models.delete(model));
      return 'accepted';
    }
    if (isThere || !this.options.hasUncountedUnloads) this.orderCount += 1;
    this.note();
    if (!isThere || adapter === undefined) return 'done';
    const remove = () => {
      adapters!.delete(adapter);
      this.note();
    };
    if (waitMs === 0) remove();
    else this.options.clock.after(waitMs, remove);
    this.note();
    return waitMs === 0 ? 'done' : 'accepted';
  }

  private begin(durationMs: Ms, end: () => void): void {
    const { startedAtMs } = this;
    this.isBusy = true;
    this.orderCount += 1;
    this.note();
    this.options.changed(this);
    this.options.clock.after(durationMs, () => {
      if (this.startedAtMs !== startedAtMs) return;
      end();
      this.isBusy = false;
      this.note();
      this.options.changed(this);
    });
  }

  private overfill(what: string): Outcome {
    const nowMs = Math.round(this.options.clock.nowMs());
    this.overfills.push(`${this.id} at ${nowMs} ms: ${what} beside ${[...this.models.keys()]}`);
    this.restart();
    return 'unknown';
  }

  private usedMb(): number {
    const { engine } = this.options;
    let usedMb = 0;
    for (const [model, adapters] of this.models) {
      const { sizeMb, adapterSizeMb } = engine.models.get(model)!;
      usedMb += sizeMb + adapters.size * adapterSizeMb;
    }
    return usedMb;
  }

  private note(): void {
    const { orderCount, isBusy, startedAtMs } = this;
    const report = { startedAtMs, orderCount, isBusy, models: this.held() };
    const atMs = this.options.clock.nowMs();
    this.history.push({ atMs, report });
    const keptFromMs = atMs - 2 * this.options.reportLagMs;
    while (this.history.length > 1 && this.history[1]!.atMs < keptFromMs) this.history.shift();
  }
}

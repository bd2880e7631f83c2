/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import type { AdmissionEvent } from '../../src/core/admission/index.js';
import type { Agenda } from './agenda.js';
import type { PlacementOrder } from './placementpolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimResident, SimUpstream } from './simupstream.js';
import { WeightQueue, type PendingLoad } from './weightqueue.js';

const DEFAULT_LAG_MS = 200;

/** What the memories of all upstreams are built from, and whom they tell. */
interface MemoriesOptions {
  readonly run: RunOptions;
  readonly agenda: Agenda;
  readonly upstreams: readonly SimUpstream[];
  readonly tell: (upstream: SimUpstream, event: AdmissionEvent) => void;
  readonly moved: (type: 'loads' | 'unloads', nowMs: number) => void;
  /** Entries know by now that a model is in some upstream's memory. */
  readonly arrived: (model: string) => void;
}

/** Which models are in which upstream's memory, what is being loaded, and what entries believe of it. */
export class Memories {
  /** What entries believe: which upstreams hold a model, and which load it. */
  readonly ready = new Map<string, Set<number>>();

  readonly loading = new Map<string, Set<number>>();

  /** While the platform's store is down, upstreams that check no fencing token load nothing. */
  storeUp = true;

  private readonly weights: WeightQueue;

  private readonly sizes: ReadonlyMap<string, number>;

  constructor(private readonly options: MemoriesOptions) {
    const { models, weightStore } = options.run.deployment.document;
    this.weights = new WeightQueue(weightStore.loadsPerSecond, weightStore.parallelLoads);
    this.sizes = new Map(models.map(({ id, sizeBytes }) => [id, sizeBytes]));
  }

  /** Loads that wait for the weight store, or use it. */
  get pending(): number {
    return this.weights.pending;
  }

  order(orders: readonly PlacementOrder[]): void {
    for (const order of orders) {
      if (order.type === 'load') this.load(order);
      else this.unload(order);
    }
  }

  install({ index, model }: PlacementOrder): void {
    const upstream = this.options.upstreams[index]!;
    const sizeBytes = this.sizes.get(model) ?? 0;
    if (sizeBytes > upstream.freeBytes || upstream.residents.has(model)) return;
    this.addResident(upstream, model, sizeBytes, 'ready');
    this.believe(this.ready, model, index, true);
  }

  /** An upstream has died with all that it held. */
  lose(upstream: SimUpstream): void {
    const { index, residents } = upstream;
    upstream.freeBytes = upstream.memoryBytes;
    this.weights.drop(index);
    const models = [...residents.keys()];
    residents.clear();
    this.later(() => {
      for (const model of models) {
        this.believe(this.ready, model, index, residents.get(model)?.phase === 'ready');
        this.believe(this.loading, model, index, false);
      }
    });
  }

  private load({ index, model, urgency }: PlacementOrder): void {
    const upstream = this.options.upstreams[index]!;
    const sizeBytes = this.sizes.get(model) ?? 0;
    const fits = sizeBytes <= upstream.freeBytes && !upstream.residents.has(model);
    const fenced = this.storeUp || upstream.group.checksFencing;
    if (!upstream.alive || !upstream.engine || !fits || !fenced) return;
    const resident = this.addResident(upstream, model, sizeBytes, 'loading');
    const { loadBytesPerMs } = this.options.run.curve;
    const waitMs = this.weights.expectMs(sizeBytes, loadBytesPerMs);
    resident.expectedAtMs = this.options.agenda.nowMs + waitMs;
    this.later(() => this.believe(this.loading, model, index, true));
    this.options.tell(upstream, { type: 'model', model, phase: 'loading', readyInMs: waitMs });
    this.weights.add({ index, model, sizeBytes, urgency });
    this.pullWeights();
  }

  private addResident(
    upstream: SimUpstream,
    model: string,
    sizeBytes: number,
    phase: SimResident['phase'],
  ): SimResident {
    const resident: SimResident = {
      model,
      sizeBytes,
      phase,
      lastUsedAtMs: this.options.agenda.nowMs,
      running: 0,
      expectedAtMs: this.options.agenda.nowMs,
    };
    upstream.residents.set(model, resident);
    upstream.freeBytes -= sizeBytes;
    return resident;
  }

  private pullWeights(): void {
    for (
      let load = this.weights.take(this.options.agenda.nowMs);
      load;
      load = this.weights.take(this.options.agenda.nowMs)
    ) {
      const taken = load;
      const { life } = this.options.upstreams[load.index]!;
      const tookMs = load.sizeBytes / this.options.run.curve.loadBytesPerMs;
      this.options.agenda.at(this.options.agenda.nowMs + tookMs, () => this.loaded(taken, life));
    }
    const retryAtMs = this.weights.retryAtMs(this.options.agenda.nowMs);
    if (retryAtMs !== Infinity) this.options.agenda.at(retryAtMs, () => this.pullWeights());
  }

  private loaded({ index, model }: PendingLoad, life: number): void {
    this.weights.end();
    const upstream = this.options.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (upstream.life === life && resident?.phase === 'loading') {
      resident.phase = 'ready';
      this.options.moved('loads', this.options.agenda.nowMs);
      this.options.tell(upstream, { type: 'model', model, phase: 'ready', readyInMs: 0 });
      this.later(() => {
        this.believe(this.loading, model, index, false);
        this.believe(this.ready, model, index, upstream.residents.get(model)?.phase === 'ready');
        this.options.arrived(model);
      });
    }
    this.pullWeights();
  }

  private unload({ index, model }: PlacementOrder): void {
    const upstream = this.options.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (!upstream.alive || resident?.phase !== 'ready') return;
    resident.phase = 'unloading';
    this.later(() => this.believe(this.ready, model, index, false));
    this.options.tell(upstream, { type: 'model', model, phase: 'absent', readyInMs: 0 });
    if (resident.running === 0) this.removeResident(upstream, resident);
  }

  removeResident(upstream: SimUpstream, resident: SimResident): void {
    if (!upstream.residents.delete(resident.model)) return;
    upstream.freeBytes += resident.sizeBytes;
    this.options.moved('unloads', this.options.agenda.nowMs);
  }

  private later(act: () => void): void {
    this.options.agenda.at(
      this.options.agenda.nowMs + (this.options.run.listLagMs ?? DEFAULT_LAG_MS),
      act,
    );
  }

  private believe(
    where: Map<string, Set<number>>,
    model: string,
    index: number,
    holds: boolean,
  ): void {
    const set = where.get(model) ?? new Set<number>();
    where.set(model, set);
    if (holds) set.add(index);
    else set.delete(index);
  }

  expectedReadyAt(model: string): number {
    let least = Infinity;
    for (const upstream of this.options.upstreams) {
      const resident = upstream.residents.get(model);
      if (upstream.alive && resident && resident.phase !== 'unloading') {
        least = Math.min(least, resident.expectedAtMs);
      }
    }
    return least;
  }
}

/* eslint no-param-reassign: off -- a simulated world changes its own records in place */
import type { AdmissionEvent } from '../../src/core/admission/index.js';
import type { Scheduler } from './scheduler.js';
import type { PlacementOrder } from './placementpolicy.js';
import type { RunOptions } from './runoptions.js';
import type { SimResident, SimUpstream } from './simupstream.js';
import { WeightQueue, type PendingLoad } from './weightqueue.js';

const DEFAULT_LIST_LAG_MS = 200;

/** Dependencies of `Residency`, and its callbacks. */
interface ResidencyOptions {
  readonly run: RunOptions;
  readonly scheduler: Scheduler;
  readonly upstreams: readonly SimUpstream[];
  readonly dispatch: (upstream: SimUpstream, event: AdmissionEvent) => void;
  readonly moved: (type: 'loads' | 'unloads', nowMs: number) => void;
  /** Called when entries learn that a model is in an upstream's memory. */
  readonly modelReady: (model: string) => void;
}

/** Tracks which models each upstream holds or loads, and the delayed view that entries have of it. */
export class Residency {
  /** The entries' view: the upstreams that hold each model, and those that load it. */
  readonly ready = new Map<string, Set<number>>();

  readonly loading = new Map<string, Set<number>>();

  /** While the platform's store is lost, upstreams that do not check fencing tokens load nothing. */
  storeUp = true;

  private readonly weights: WeightQueue;

  private readonly sizes: ReadonlyMap<string, number>;

  constructor(private readonly options: ResidencyOptions) {
    const { models, weightStore } = options.run.deployment.document;
    this.weights = new WeightQueue(weightStore.loadsPerSecond, weightStore.parallelLoads);
    this.sizes = new Map(models.map(({ id, sizeBytes }) => [id, sizeBytes]));
  }

  /** Loads that wait for the weight store or read from it. */
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
    this.updateView(this.ready, model, index, true);
  }

  /** Empties the memory of a lost upstream. */
  clear(upstream: SimUpstream): void {
    const { index, residents } = upstream;
    upstream.freeBytes = upstream.memoryBytes;
    this.weights.drop(index);
    const models = [...residents.keys()];
    residents.clear();
    this.later(() => {
      for (const model of models) {
        this.updateView(this.ready, model, index, residents.get(model)?.phase === 'ready');
        this.updateView(this.loading, model, index, false);
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
    resident.expectedAtMs = this.options.scheduler.nowMs + waitMs;
    this.later(() => this.updateView(this.loading, model, index, true));
    this.options.dispatch(upstream, { type: 'model', model, phase: 'loading', readyInMs: waitMs });
    this.weights.add({ index, model, sizeBytes, urgency });
    this.startLoads();
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
      lastUsedAtMs: this.options.scheduler.nowMs,
      running: 0,
      expectedAtMs: this.options.scheduler.nowMs,
    };
    upstream.residents.set(model, resident);
    upstream.freeBytes -= sizeBytes;
    return resident;
  }

  private startLoads(): void {
    for (
      let load = this.weights.take(this.options.scheduler.nowMs);
      load;
      load = this.weights.take(this.options.scheduler.nowMs)
    ) {
      const taken = load;
      const { incarnation } = this.options.upstreams[load.index]!;
      const tookMs = load.sizeBytes / this.options.run.curve.loadBytesPerMs;
      this.options.scheduler.at(this.options.scheduler.nowMs + tookMs, () =>
        this.loaded(taken, incarnation),
      );
    }
    const retryAtMs = this.weights.retryAtMs(this.options.scheduler.nowMs);
    if (retryAtMs !== Infinity) this.options.scheduler.at(retryAtMs, () => this.startLoads());
  }

  private loaded({ index, model }: PendingLoad, incarnation: number): void {
    this.weights.end();
    const upstream = this.options.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (upstream.incarnation === incarnation && resident?.phase === 'loading') {
      resident.phase = 'ready';
      this.options.moved('loads', this.options.scheduler.nowMs);
      this.options.dispatch(upstream, { type: 'model', model, phase: 'ready', readyInMs: 0 });
      this.later(() => {
        this.updateView(this.loading, model, index, false);
        this.updateView(this.ready, model, index, upstream.residents.get(model)?.phase === 'ready');
        this.options.modelReady(model);
      });
    }
    this.startLoads();
  }

  private unload({ index, model }: PlacementOrder): void {
    const upstream = this.options.upstreams[index]!;
    const resident = upstream.residents.get(model);
    if (!upstream.alive || resident?.phase !== 'ready') return;
    resident.phase = 'unloading';
    this.later(() => this.updateView(this.ready, model, index, false));
    this.options.dispatch(upstream, { type: 'model', model, phase: 'absent', readyInMs: 0 });
    if (resident.running === 0) this.removeResident(upstream, resident);
  }

  removeResident(upstream: SimUpstream, resident: SimResident): void {
    if (!upstream.residents.delete(resident.model)) return;
    upstream.freeBytes += resident.sizeBytes;
    this.options.moved('unloads', this.options.scheduler.nowMs);
  }

  private later(act: () => void): void {
    this.options.scheduler.at(
      this.options.scheduler.nowMs + (this.options.run.listLagMs ?? DEFAULT_LIST_LAG_MS),
      act,
    );
  }

  private updateView(
    view: Map<string, Set<number>>,
    model: string,
    index: number,
    isMember: boolean,
  ): void {
    const set = view.get(model) ?? new Set<number>();
    view.set(model, set);
    if (isMember) set.add(index);
    else set.delete(index);
  }

  expectedReadyAtMs(model: string): number {
    let earliestMs = Infinity;
    for (const upstream of this.options.upstreams) {
      const resident = upstream.residents.get(model);
      if (upstream.alive && resident && resident.phase !== 'unloading') {
        earliestMs = Math.min(earliestMs, resident.expectedAtMs);
      }
    }
    return earliestMs;
  }
}

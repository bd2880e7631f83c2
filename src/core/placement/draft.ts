import type { AdapterId, ModelId, UpstreamId } from '../../base/index.js';
import type { CellModel } from './cellmodel.js';
import type { CellUpstream } from './cellupstream.js';
import type { Placed } from './placed.js';

/** One model on one upstream, with the memory that it occupies. */
interface Entry extends Placed {
  readonly sizeBytes: number;
  /** True if it is loaded and can serve requests. */
  readonly ready: boolean;
}

const TRIAL = { reason: 'demand', gain: 0, cost: 0 } as const;

/** A mutable plan under construction: upstreams as bins of memory that hold models. Lives within one planning call. */
export class Draft {
  private readonly entries = new Map<UpstreamId, Map<ModelId, Entry>>();

  private readonly holders = new Map<ModelId, Set<UpstreamId>>();

  private readonly usedBytes = new Map<UpstreamId, number>();

  readonly dropped: Pick<Placed, 'upstream' | 'model'>[] = [];

  constructor(
    readonly bins: readonly CellUpstream[],
    readonly models: ReadonlyMap<ModelId, CellModel>,
  ) {
    for (const { id } of bins) this.entries.set(id, new Map());
  }

  freeBytes({ id, capacityBytes }: CellUpstream): number {
    return capacityBytes - (this.usedBytes.get(id) ?? 0);
  }

  at(upstream: UpstreamId): readonly Entry[] {
    return [...(this.entries.get(upstream)?.values() ?? [])];
  }

  entry(upstream: UpstreamId, model: ModelId): Entry | undefined {
    return this.entries.get(upstream)?.get(model);
  }

  holdersOf(model: ModelId): readonly UpstreamId[] {
    return [...(this.holders.get(model) ?? [])];
  }

  holderCount(model: ModelId): number {
    return this.holders.get(model)?.size ?? 0;
  }

  readyCount(model: ModelId): number {
    let count = 0;
    for (const holder of this.holders.get(model) ?? []) {
      if (this.entry(holder, model)?.ready) count += 1;
    }
    return count;
  }

  /** Adds a model with those of its adapters that fit. False if the model is there already or does not fit. */
  add(bin: CellUpstream, model: CellModel, why: Pick<Placed, 'reason' | 'gain' | 'cost'>): boolean {
    if (this.entry(bin.id, model.id)) return false;
    let freeBytes = this.freeBytes(bin) - model.sizeBytes;
    if (freeBytes < 0) return false;
    const adapters: AdapterId[] = [];
    let { sizeBytes } = model;
    for (const adapter of model.adapters) {
      if (adapter.sizeBytes > freeBytes) continue;
      adapters.push(adapter.id);
      freeBytes -= adapter.sizeBytes;
      sizeBytes += adapter.sizeBytes;
    }
    const ready = bin.residents.some((held) => held.model === model.id && held.phase === 'ready');
    const entry = { ...why, upstream: bin.id, model: model.id, adapters, sizeBytes, ready };
    this.put(entry);
    return true;
  }

  drop(upstream: UpstreamId, model: ModelId): void {
    if (this.remove(upstream, model)) this.dropped.push({ upstream, model });
  }

  /** Applies a change, evaluates the draft with it, and reverts it. */
  evaluate<Verdict>(
    bin: CellUpstream,
    model: CellModel,
    evicted: readonly ModelId[],
    assess: () => Verdict,
  ): Verdict {
    const gone = evicted.flatMap((id) => this.remove(bin.id, id) ?? []);
    const added = this.add(bin, model, TRIAL);
    const verdict = assess();
    if (added) this.remove(bin.id, model.id);
    for (const entry of gone) this.put(entry);
    return verdict;
  }

  placed(): readonly Placed[] {
    return this.bins.flatMap(({ id }) => this.at(id));
  }

  private put(entry: Entry): void {
    const { upstream, model, sizeBytes } = entry;
    this.entries.get(upstream)?.set(model, entry);
    this.usedBytes.set(upstream, (this.usedBytes.get(upstream) ?? 0) + sizeBytes);
    this.holders.set(model, (this.holders.get(model) ?? new Set()).add(upstream));
  }

  private remove(upstream: UpstreamId, model: ModelId): Entry | undefined {
    const entry = this.entry(upstream, model);
    if (!entry) return undefined;
    this.entries.get(upstream)?.delete(model);
    this.holders.get(model)?.delete(upstream);
    this.usedBytes.set(upstream, (this.usedBytes.get(upstream) ?? 0) - entry.sizeBytes);
    return entry;
  }
}

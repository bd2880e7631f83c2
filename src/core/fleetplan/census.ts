import type { ModelId, Ms, UpstreamId } from '../../base/index.js';
import { costOf } from './costof.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';
import type { PlanUpstream } from './planupstream.js';
import { Spread } from './spread.js';

/** A model that may be taken from an upstream, and what that costs. */
interface Victim {
  readonly placed: PlanUpstream['placed'][number];
  readonly cost: number;
}

/** How many places each model has, and what is lost with them as they are. */
export class Census {
  private readonly held = new Map<ModelId, number>();

  private readonly ready = new Map<ModelId, number>();

  private readonly coming = new Map<ModelId, Ms>();

  private readonly costs = new Map<UpstreamId, readonly Victim[]>();

  readonly spread: Spread;

  constructor(private readonly input: PlanInput) {
    for (const { placed } of input.upstreams) {
      for (const { model, phase, ageMs } of placed) {
        if (phase === 'unloading') continue;
        this.held.set(model, this.heldCount(model) + 1);
        if (phase === 'loading') this.noteComing(model, ageMs);
        if (phase === 'ready') this.ready.set(model, this.readyCount(model) + 1);
      }
    }
    this.spread = new Spread(input);
  }

  private noteComing(model: ModelId, ageMs: Ms): void {
    const loadMs = this.input.engine.models.get(model)?.loadMs ?? 0;
    const inMs = Math.max(0, loadMs - ageMs);
    this.coming.set(model, Math.min(inMs, this.coming.get(model) ?? Infinity));
  }

  /** Places, with those on their way. */
  heldCount(model: ModelId): number {
    return this.held.get(model) ?? 0;
  }

  readyCount(model: ModelId): number {
    return this.ready.get(model) ?? 0;
  }

  /** When the first place of a model that is on its way should be there. */
  comingInMs(model: ModelId): Ms {
    return this.coming.get(model) ?? 0;
  }

  isRare(model: ModelId): boolean {
    return (this.input.demand.get(model)?.perSecond ?? 0) < planRules.rarePerS;
  }

  /** Whether a rare model may be loaded from the weight store now. */
  hasRareLoadLeft(): boolean {
    let rareCount = 0;
    for (const model of this.coming.keys()) if (this.isRare(model)) rareCount += 1;
    const { rareLoads, rareLoadShare } = planRules;
    return rareCount < Math.max(rareLoads, this.input.upstreams.length * rareLoadShare);
  }

  /** Requests of a model at each of its places. */
  running(model: ModelId): number {
    const { concurrency = 0 } = this.input.demand.get(model) ?? {};
    return concurrency / Math.max(1, this.readyCount(model));
  }

  /** Places without which its adapters would have to take turns. */
  adapterCount(model: ModelId): number {
    const adapters = this.input.demand.get(model)?.adaptersInUse ?? 0;
    return Math.ceil(adapters / Math.max(1, this.input.engine.adapterSlots));
  }

  /** What a second place saves, as the engine with the first may be lost. */
  insurance(model: ModelId): number {
    const { perSecond = 0 } = this.input.demand.get(model) ?? {};
    return perSecond * planRules.insuredShare;
  }

  /** The models at an upstream, those first that cost least to take. */
  victims(upstream: PlanUpstream): readonly Victim[] {
    const known = this.costs.get(upstream.id);
    if (known) return known;
    const victims = upstream.placed
      .map((placed) => ({ placed, cost: costOf(this.input, this, upstream, placed) }))
      .sort((a, b) => a.cost - b.cost);
    this.costs.set(upstream.id, victims);
    return victims;
  }

  isInUse(model: ModelId): boolean {
    const demand = this.input.demand.get(model);
    return demand !== undefined && (demand.waiting > 0 || demand.idleMs < planRules.inUseMs);
  }
}

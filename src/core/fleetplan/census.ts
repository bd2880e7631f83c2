import type { ModelId } from '../../base/index.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

/** The part of its slots that a place is meant to have filled: more when all engines are busy. */
function fillShareOf({ upstreams, demand }: PlanInput): number {
  let requests = 0;
  for (const { concurrency } of demand.values()) requests += concurrency;
  let slots = 0;
  for (const upstream of upstreams) slots += upstream.slots;
  const evenShare = slots === 0 ? 0 : (requests / slots) * planRules.busyFactor;
  return Math.min(planRules.mostFillShare, Math.max(planRules.fillShare, evenShare));
}

/** How many places each model has, and how many it should have. */
export class Census {
  private readonly held = new Map<ModelId, number>();

  private readonly ready = new Map<ModelId, number>();

  private readonly slots: number;

  private readonly fillShare: number;

  constructor(private readonly input: PlanInput) {
    for (const { placed } of input.upstreams) {
      for (const { model, phase } of placed) {
        if (phase === 'unloading') continue;
        this.held.set(model, this.heldCount(model) + 1);
        if (phase === 'ready') this.ready.set(model, this.readyCount(model) + 1);
      }
    }
    this.slots = Math.max(1, input.upstreams[0]?.slots ?? 1);
    this.fillShare = fillShareOf(input);
  }

  /** Places, with those on their way. */
  heldCount(model: ModelId): number {
    return this.held.get(model) ?? 0;
  }

  readyCount(model: ModelId): number {
    return this.ready.get(model) ?? 0;
  }

  concurrency(model: ModelId): number {
    return this.input.demand.get(model)?.concurrency ?? 0;
  }

  /** Part of the slots of this many places that the model's requests fill. */
  fill(model: ModelId, count: number): number {
    return this.concurrency(model) / (Math.max(1, count) * this.slots);
  }

  /** How many places its requests fill. */
  neededCount(model: ModelId): number {
    const needed = Math.max(1, Math.ceil(this.fill(model, 1) / this.fillShare));
    if (this.input.isDemandKnown) return needed;
    return Math.max(needed, Math.ceil(this.readyCount(model) * planRules.keptShare));
  }

  /** How many places it should have: so many that its adapters need not take turns. */
  wantedCount(model: ModelId): number {
    const adapters = this.input.demand.get(model)?.adaptersInUse ?? 0;
    const slots = Math.max(1, this.input.engine.adapterSlots);
    return Math.max(this.neededCount(model), Math.ceil(adapters / slots));
  }

  isInUse(model: ModelId): boolean {
    const demand = this.input.demand.get(model);
    return demand !== undefined && (demand.waiting > 0 || demand.idleMs < planRules.inUseMs);
  }
}

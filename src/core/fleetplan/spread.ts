import type { ModelId, UpstreamId } from '../../base/index.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

/** A model's requests at one engine. */
interface Portion {
  readonly engine: UpstreamId;
  /** Part of the engine's slots. */
  readonly share: number;
}

/** What a spread is made from. */
type SpreadInput = Pick<PlanInput, 'upstreams' | 'demand' | 'promptsPerPause'>;

/** Fills the emptiest engines first, until all of `amount` is placed and they are level. */
function pour(
  amount: number,
  engines: readonly UpstreamId[],
  filled: Map<UpstreamId, number>,
): Portion[] {
  const levels = engines.map((engine) => ({ engine, at: filled.get(engine) ?? 0 }));
  levels.sort((a, b) => a.at - b.at);
  let count = 0;
  let sum = 0;
  let level = 0;
  for (const { at } of levels) {
    if (count > 0 && level <= at) break;
    count += 1;
    sum += at;
    level = (sum + amount) / count;
  }
  return levels.slice(0, count).map(({ engine, at }) => {
    filled.set(engine, level);
    return { engine, share: level - at };
  });
}

/**
 * Where the requests of each model run, if they go to the emptiest engines that hold it. Engines share their
 * time among all that they hold: a place beside a busy model is worth less than one on an idle engine.
 */
export class Spread {
  private readonly calmFill: number;

  private readonly filled = new Map<UpstreamId, number>();

  private readonly portions = new Map<ModelId, readonly Portion[]>();

  constructor({ upstreams, demand, promptsPerPause }: SpreadInput) {
    const { calmFill, fewPrompts, mostRaise, unknownPrompts } = planRules;
    const raise = ((promptsPerPause ?? unknownPrompts) / fewPrompts) ** 2;
    this.calmFill = calmFill * Math.min(mostRaise, Math.max(1, raise));
    const holders = new Map<ModelId, UpstreamId[]>();
    let slots = 1;
    for (const upstream of upstreams) {
      slots = Math.max(slots, upstream.slots);
      for (const { model, phase } of upstream.placed) {
        if (phase === 'unloading' || !demand.get(model)?.concurrency) continue;
        const known = holders.get(model);
        if (known) known.push(upstream.id);
        else holders.set(model, [upstream.id]);
      }
    }
    // Those with the least choice first.
    const order = [...holders].sort(([, a], [, b]) => a.length - b.length);
    for (const [model, engines] of order) {
      const amount = demand.get(model)!.concurrency / slots;
      this.portions.set(model, pour(amount, engines, this.filled));
    }
  }

  /** Part of an engine's slots that is filled. */
  levelOf(engine: UpstreamId): number {
    return this.filled.get(engine) ?? 0;
  }

  /** Part of a model's requests that come too late, as the engines that they run at are filled. */
  lateShare(model: ModelId): number {
    let late = 0;
    let all = 0;
    for (const { engine, share } of this.portions.get(model) ?? []) {
      late += share * this.lateAt(this.levelOf(engine));
      all += share;
    }
    return all === 0 ? 0 : late / all;
  }

  private lateAt(level: number): number {
    return Math.min(1, Math.max(0, (level - this.calmFill) / planRules.lateSpan));
  }
}

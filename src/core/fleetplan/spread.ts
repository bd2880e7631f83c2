import type { ModelId, UpstreamId } from '../../base/index.js';
import type { PlanInput } from './planinput.js';
import { planRules } from './planrules.js';

/** Engines that hold each model which is asked for enough to count. */
type Holders = ReadonlyMap<ModelId, readonly UpstreamId[]>;

/** A model's requests at one engine. */
interface Portion {
  readonly engine: UpstreamId;
  /** Part of the engine's slots. */
  readonly share: number;
}

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
 * Requests that come too late, if those of each model go to the emptiest engines that hold it. Engines share their
 * time among all that they hold: a place beside a busy model is worth less than one on an idle engine. Only models
 * with some requests at a time count: with all of 85 on 28 engines a plan took 0.3 s of a processor for four moves.
 */
export class Spread {
  private readonly slots: number;

  private readonly calmFill: number;

  private readonly holders = new Map<ModelId, readonly UpstreamId[]>();

  /** With the places as they are. */
  readonly lateness: number;

  constructor(private readonly input: PlanInput) {
    const { upstreams, demand, promptsPerPause } = input;
    const { calmFill, fewPrompts, mostRaise, unknownPrompts, leastConcurrency } = planRules;
    const raise = ((promptsPerPause ?? unknownPrompts) / fewPrompts) ** 2;
    this.calmFill = calmFill * Math.min(mostRaise, Math.max(1, raise));
    this.slots = Math.max(1, ...upstreams.map(({ slots }) => slots));
    for (const [model, { concurrency }] of demand) {
      if (concurrency >= leastConcurrency) this.holders.set(model, []);
    }
    for (const { id, placed } of upstreams) {
      for (const { model, phase } of placed) {
        const known = this.holders.get(model);
        if (known && phase !== 'unloading') this.holders.set(model, [...known, id]);
      }
    }
    this.lateness = this.late(this.holders);
  }

  /** What the lateness becomes with a place of a model more. */
  latenessWith(model: ModelId, engine: UpstreamId): number {
    const known = this.holders.get(model);
    if (!known) return this.lateness;
    return this.late(new Map(this.holders).set(model, [...known, engine]));
  }

  /** What the lateness becomes with a place of a model less. */
  latenessWithout(model: ModelId, engine: UpstreamId): number {
    const known = this.holders.get(model);
    if (!known) return this.lateness;
    const left = known.filter((one) => one !== engine);
    return this.late(new Map(this.holders).set(model, left));
  }

  private late(holders: Holders): number {
    const { demand } = this.input;
    const filled = new Map<UpstreamId, number>();
    const poured: (readonly [ModelId, readonly Portion[]])[] = [];
    // Those with the least choice first.
    for (const [model, engines] of [...holders].sort(([, a], [, b]) => a.length - b.length)) {
      const amount = demand.get(model)!.concurrency / this.slots;
      if (engines.length > 0) poured.push([model, pour(amount, engines, filled)]);
    }
    let late = 0;
    for (const [model, portions] of poured) {
      const { perSecond, concurrency } = demand.get(model)!;
      // Requests that stand in a queue count as asked for within the longest time believed.
      const rate = Math.max(perSecond, concurrency / planRules.longestRunS);
      late += rate * this.lateShare(portions, filled);
    }
    return late * planRules.horizonS;
  }

  private lateShare(portions: readonly Portion[], filled: ReadonlyMap<UpstreamId, number>): number {
    let late = 0;
    let all = 0;
    for (const { engine, share } of portions) {
      late += share * this.lateAt(filled.get(engine) ?? 0);
      all += share;
    }
    return all === 0 ? 0 : late / all;
  }

  private lateAt(level: number): number {
    return Math.min(1, Math.max(0, (level - this.calmFill) / planRules.lateSpan));
  }
}

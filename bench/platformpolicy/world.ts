import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ModelId, Ms, ServiceId, UpstreamId } from '../../src/base/index.js';
import { planMoves, type Move, type PlanUpstream } from '../../src/core/allocation/index.js';
import { DemandEstimator } from '../../src/direct/orders/demandestimator.js';
import { LoadBudget } from '../../src/direct/orders/loadbudget.js';
import type { StudyDeployment } from './deployment.js';

const STEP_MS = 20;
const TICK_MS = 100;
const REPORT_MS = 250;
/** Delay until a completed load appears in the upstream list. */
const LIST_LAG_MS = 300;
/** Load above which a request is refused, as a multiple of the slots; equal to the entry's own limit. */
const MAX_FILL = 1.15;
const LATE_WORTH = 0.3;
const RETRIED_WORTH = 0.65;
const RETRY_AFTER_MS = 400;
/** Relative increase of the request duration when all slots of an engine are in use. */
const CROWDING_SLOWDOWN = 0.6;
const SERVICE = 's' as ServiceId;
const LOAD_WINDOW_MS = 5000;
const LOAD_OVERSHOOT = 1.1;

/** A replica of a model on an engine. */
interface Place {
  phase: 'ready' | 'loading' | 'unloading';
  sinceMs: Ms;
  readonly runs: { readonly endMs: Ms; readonly tookMs: Ms }[];
}

interface Engine {
  readonly id: UpstreamId;
  readonly places: Map<ModelId, Place>;
  readonly onDisk: Set<ModelId>;
  isLost: boolean;
  move: { readonly move: Move; loadFromMs: Ms | undefined } | undefined;
}

/** A gradual demand shift: over `forMs`, each busy model's share moves to the next model. */
export interface DemandShift {
  readonly atMs: Ms;
  readonly forMs: Ms;
}

/** A temporary loss of engines. They return with empty memory; their disks are kept. */
export interface EngineLoss {
  readonly atMs: Ms;
  readonly forMs: Ms;
  readonly count: number;
}

/** A temporary increase of all busy models' demand. */
export interface DemandBurst {
  readonly atMs: Ms;
  readonly forMs: Ms;
  readonly factor: number;
}

/** The events of one run. */
export interface StudyScenario {
  readonly shifts: readonly DemandShift[];
  readonly losses?: readonly EngineLoss[];
  readonly bursts?: readonly DemandBurst[];
}

/** The result of one run. */
export interface StudyResult {
  /** Earned fraction of the total value of the requests. */
  readonly worth: number;
  readonly refused: number;
  readonly late: number;
  readonly loads: number;
}

/** Simulates engines, Poisson demand that shifts, and the planner as the order lease holder runs it. */
export class World {
  private nowMs: Ms = 0;

  private readonly generator;

  private readonly engines: Engine[];

  private readonly book = new DemandEstimator();

  private readonly budget = new LoadBudget(LOAD_WINDOW_MS, LOAD_OVERSHOOT);

  private readonly arrivals = new Map<ModelId, number>();

  private readonly missed = new Map<ModelId, number>();

  private readonly ended = new Map<ModelId, { count: number; tookMs: Ms }>();

  private again: { readonly atMs: Ms; readonly model: ModelId }[] = [];

  private asked = 0;

  private earned = 0;

  private refused = 0;

  private late = 0;

  private loads = 0;

  constructor(
    private readonly deployment: StudyDeployment,
    private readonly scenario: StudyScenario,
    seed: number,
  ) {
    this.generator = xoroshiro128plus(seed);
    this.engines = Array.from({ length: deployment.engines }, (_, at) => ({
      id: `u${at}` as UpstreamId,
      places: new Map(),
      onDisk: new Set(),
      isLost: false,
      move: undefined,
    }));
    this.placeInitially();
  }

  run(untilMs: Ms): StudyResult {
    while (this.nowMs < untilMs) {
      this.nowMs += STEP_MS;
      for (const loss of this.scenario.losses ?? []) this.lose(loss);
      for (const engine of this.engines) this.advance(engine);
      this.demand();
      if (this.nowMs % REPORT_MS < STEP_MS) this.report();
      if (this.nowMs % TICK_MS < STEP_MS) this.plan();
    }
    const { asked, earned, refused, late, loads } = this;
    return { worth: earned / asked, refused: refused / asked, late: late / asked, loads };
  }

  /** Places busy models on several engines and every other model on one, as far as memory allows. */
  private placeInitially(): void {
    const { engine, pool, busyShares, engines } = this.deployment;
    for (const [model] of engine.models) this.put(model, 1);
    for (const [at, share] of busyShares.entries()) {
      this.put(pool[at]!, Math.ceil((share * engines) / 2));
    }
  }

  private put(model: ModelId, count: number): void {
    const { sizeMb } = this.deployment.engine.models.get(model)!;
    let left = count;
    const byFreeMemory = [...this.engines].sort((a, b) => this.freeMb(b) - this.freeMb(a));
    for (const engine of byFreeMemory) {
      if (left === 0) return;
      if (engine.places.has(model) || this.freeMb(engine) < sizeMb) continue;
      engine.places.set(model, { phase: 'ready', sinceMs: 0, runs: [] });
      engine.onDisk.add(model);
      left -= 1;
    }
  }

  private freeMb({ places }: Engine): number {
    let free = this.deployment.engine.weightsMb;
    for (const model of places.keys()) free -= this.deployment.engine.models.get(model)!.sizeMb;
    return free;
  }

  private lose({ atMs, forMs, count }: EngineLoss): void {
    for (const engine of this.engines.slice(0, count)) {
      const target = engine;
      const sinceMs = this.nowMs - atMs;
      if (sinceMs < 0 || sinceMs >= forMs) {
        if (sinceMs >= forMs) target.isLost = false;
        continue;
      }
      if (engine.isLost) continue;
      target.isLost = true;
      target.move = undefined;
      engine.places.clear();
    }
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private share(at: number): number {
    return this.deployment.busyShares[at] ?? 0;
  }

  /** Returns the current requests per second of each model. */
  private rates(): Map<ModelId, number> {
    const { pool, busyPerSecond, rarePerSecond, engine } = this.deployment;
    let moved = 0;
    for (const { atMs, forMs } of this.scenario.shifts) {
      moved += Math.min(1, Math.max(0, (this.nowMs - atMs) / forMs));
    }
    const wholeShifts = Math.floor(moved);
    const fraction = moved - wholeShifts;
    const rates = new Map<ModelId, number>();
    let factor = 1;
    for (const burst of this.scenario.bursts ?? []) {
      const sinceMs = this.nowMs - burst.atMs;
      if (sinceMs >= 0 && sinceMs < burst.forMs) factor *= burst.factor;
    }
    for (const [at, model] of pool.entries()) {
      const now = this.share((at - wholeShifts + pool.length * 8) % pool.length);
      const next = this.share((at - wholeShifts - 1 + pool.length * 8) % pool.length);
      rates.set(model, (now * (1 - fraction) + next * fraction) * busyPerSecond * factor);
    }
    const rare = [...engine.models.keys()].filter((model) => !pool.includes(model));
    for (const model of rare) rates.set(model, rarePerSecond / rare.length);
    return rates;
  }

  private demand(): void {
    const due = this.again.filter(({ atMs }) => atMs <= this.nowMs);
    this.again = this.again.filter(({ atMs }) => atMs > this.nowMs);
    for (const { model } of due) this.arrive(model, false);
    for (const [model, perSecond] of this.rates()) {
      let chance = (perSecond * STEP_MS) / 1000;
      while (chance > 0) {
        if (this.random() < chance) this.arrive(model, true);
        chance -= 1;
      }
    }
  }

  private arrive(model: ModelId, isFirst: boolean): void {
    if (isFirst) this.asked += 1;
    this.arrivals.set(model, (this.arrivals.get(model) ?? 0) + 1);
    const { slots, meanMs } = this.deployment;
    let best: Engine | undefined;
    let bestLoad = Infinity;
    for (const engine of this.engines) {
      if (engine.places.get(model)?.phase !== 'ready') continue;
      const load = this.load(engine);
      if (load < bestLoad) [best, bestLoad] = [engine, load];
    }
    if (!best) this.missed.set(model, (this.missed.get(model) ?? 0) + 1);
    if (!best || bestLoad >= slots * MAX_FILL) {
      if (isFirst) this.again.push({ atMs: this.nowMs + RETRY_AFTER_MS, model });
      else this.refused += 1;
      return;
    }
    const slowdown = 1 + (CROWDING_SLOWDOWN * bestLoad) / slots;
    const meanModelMs = meanMs * (this.deployment.durationFactors?.get(model) ?? 1);
    const tookMs = -Math.log(1 - this.random()) * meanModelMs * slowdown;
    best.places.get(model)!.runs.push({ endMs: this.nowMs + tookMs, tookMs });
    const isLate = bestLoad >= slots;
    if (isLate) this.late += 1;
    const worth = isFirst ? 1 : RETRIED_WORTH;
    this.earned += isLate ? LATE_WORTH : worth;
  }

  private load({ places }: Engine): number {
    let load = 0;
    for (const { runs } of places.values()) load += runs.length;
    return load;
  }

  private advance(engine: Engine): void {
    const target = engine;
    for (const [model, place] of engine.places) {
      const ended = this.ended.get(model) ?? { count: 0, tookMs: 0 };
      this.ended.set(model, ended);
      for (const { endMs, tookMs } of place.runs) {
        if (endMs > this.nowMs) continue;
        ended.count += 1;
        ended.tookMs += tookMs;
      }
      const running = place.runs.filter(({ endMs }) => endMs > this.nowMs);
      place.runs.splice(0, place.runs.length, ...running);
    }
    const current = engine.move;
    if (!current) return;
    const { model, evicted, loadMs } = current.move;
    const isWaiting = evicted.some((old) => (engine.places.get(old)?.runs.length ?? 0) > 0);
    if (isWaiting) return;
    for (const old of evicted) engine.places.delete(old);
    current.loadFromMs ??= this.nowMs;
    if (this.nowMs < current.loadFromMs + loadMs + LIST_LAG_MS) return;
    engine.places.set(model, { phase: 'ready', sinceMs: this.nowMs, runs: [] });
    engine.onDisk.add(model);
    target.move = undefined;
  }

  private report(): void {
    const models = [...this.deployment.engine.models.keys()].map((model) => {
      let running = 0;
      for (const { places } of this.engines) running += places.get(model)?.runs.length ?? 0;
      const arrivals = this.arrivals.get(model) ?? 0;
      const waiting = this.missed.get(model) ?? 0;
      const { count: ended, tookMs: endedMs } = this.ended.get(model) ?? { count: 0, tookMs: 0 };
      const counts = { arrivals, ended, endedMs, running, waiting };
      const adapters = { adapters: [], busyAdapters: [] };
      return { service: SERVICE, model, ...counts, ...adapters };
    });
    this.arrivals.clear();
    this.missed.clear();
    this.ended.clear();
    this.book.take({ entry: 'e', address: 'a', models, lost: [] }, this.nowMs);
  }

  private plan(): void {
    this.book.advance(this.nowMs);
    const { engine, slots } = this.deployment;
    const isReady = (model: ModelId) =>
      this.engines.some(({ places }) => places.get(model)?.phase === 'ready');
    const input = {
      engine,
      upstreams: this.engines
        .filter(({ isLost }) => !isLost)
        .map((upstream) => this.planUpstream(upstream, slots)),
      demand: this.book.estimate(SERVICE, this.nowMs, isReady),
      promptsPerGap: this.deployment.promptsPerGap,
      isDemandKnown: this.book.isDemandKnown(this.nowMs),
      coldLoadsLeft: this.budget.left(engine.loadsPerSecond, this.nowMs),
    };
    for (const move of planMoves(input, this.engines.length)) this.begin(move);
  }

  private begin(move: Move): void {
    const engine = this.engines.find(({ id }) => id === move.upstream)!;
    engine.move = { move, loadFromMs: undefined };
    this.loads += 1;
    if (move.isFromStore) this.budget.begin(this.nowMs);
    for (const old of move.evicted) {
      const place = engine.places.get(old);
      if (place) place.phase = 'unloading';
    }
    engine.places.set(move.model, { phase: 'loading', sinceMs: this.nowMs, runs: [] });
  }

  private planUpstream(engine: Engine, slots: number): PlanUpstream {
    const placed = [...engine.places].map(([model, { phase, sinceMs }]) => ({
      model,
      phase,
      ageMs: this.nowMs - sinceMs,
      adapters: new Set<string>(),
    }));
    return {
      id: engine.id,
      slots,
      placed,
      isBusy: engine.move !== undefined,
      warm: new Set(),
      onDisk: engine.onDisk,
      load: this.load(engine),
    };
  }
}

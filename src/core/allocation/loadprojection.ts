import type { ModelId, Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import { onTimeFill } from './ontimefill.js';
import { heldMb } from './heldmb.js';
import type { HeldModel } from './heldmodel.js';
import { goodput } from './goodput.js';
import type { PlanInput } from './planinput.js';
import { waterFill } from './waterfill.js';
import type { Site } from './site.js';

/** The load of a model with fewer concurrent requests than this is ignored. */
const MIN_CONCURRENCY = 0.5;
/** A queue holds the arrivals of at most about this many seconds, as callers that wait longer leave. */
const QUEUE_SPAN_S = 2;

type Basin = Pick<Site, 'level' | 'pace'>;

function byLevel(a: Basin, b: Basin): number {
  return a.level - b.level;
}

/**
 * Projects the load of each engine, assuming that requests go to the least loaded engines that hold their model. The
 * models of an engine share its time, so a replica next to a busy model is worth less than one on an idle engine.
 */
export class LoadProjection {
  readonly sites: readonly Site[];

  readonly held = new Map<ModelId, HeldModel>();

  /** Incremented when a replica is added or removed: invalidates cached losses. */
  version = 0;

  /** True if engines run different versions of their software. */
  readonly hasSeveralVersions: boolean;

  private readonly onTimeShare: number;

  /** Requests per second that an engine answers with all slots occupied. */
  private readonly requestsPerEngineS: number;

  constructor(readonly input: PlanInput) {
    const { engine, upstreams, demand, promptsPerGap } = input;
    this.onTimeShare = onTimeFill(promptsPerGap);
    this.hasSeveralVersions =
      new Set(upstreams.map(({ softwareVersion }) => softwareVersion)).size > 1;
    this.sites = upstreams.map((upstream) => this.siteOf(upstream));
    const slots = Math.max(1, ...upstreams.map((upstream) => upstream.slots));
    let load = 0;
    let perSecond = 0;
    for (const model of engine.models.keys()) {
      const modelDemand = demand.get(model);
      const concurrency = modelDemand?.concurrency ?? 0;
      const held: HeldModel = {
        model,
        sites: [],
        readyCount: 0,
        readyInMs: Infinity,
        load: concurrency >= MIN_CONCURRENCY ? concurrency / slots : 0,
        // Queued requests count as the arrivals of the queue span.
        perSecond: Math.max(modelDemand?.perSecond ?? 0, concurrency / QUEUE_SPAN_S),
      };
      this.held.set(model, held);
      load += held.load;
      perSecond += held.load > 0 ? held.perSecond : 0;
    }
    this.requestsPerEngineS = load > 0 ? perSecond / load : 0;
    for (const site of this.sites) {
      site.level = this.limitedShare(site);
      this.addHeldModels(site);
    }
  }

  /** Returns the models with load, those with the fewest replicas first: the order for distributing them. */
  busy(): readonly HeldModel[] {
    const busy = [...this.held.values()].filter((held) => held.load > 0 && held.sites.length > 0);
    return busy.sort((a, b) => a.sites.length - b.sites.length);
  }

  /** Redistributes a model's load over the engines that hold it. */
  distribute(held: HeldModel): void {
    const { model, sites, load } = held;
    for (const site of sites) this.setPortion(site, model, 0);
    if (load === 0 || sites.length === 0) return;
    const sorted = [...sites].sort(byLevel);
    const levels = sorted.map((site) => site.level);
    const level = waterFill(load, sorted);
    for (const [at, site] of sorted.entries()) {
      if (levels[at]! < level) this.setPortion(site, model, level - levels[at]!);
    }
  }

  /** Returns the requests per second that become on time with another replica on an engine. */
  gainAt(held: HeldModel, site: Site): number {
    if (held.load === 0) return 0;
    const others = held.sites.map((other) => this.withoutPortion(other, held.model));
    const before = held.sites.reduce((sum, other) => sum + this.lateAt(other), 0);
    return this.late(held, [...others, site], -this.lateAt(site) - before);
  }

  /**
   * Returns how much of a model's load an engine would answer on time as its first replica, relative to an engine of
   * the usual pace with the same level.
   */
  firstReplicaShare({ load }: HeldModel, { level, pace }: Site): number {
    if (pace === 1 || load === 0) return 1;
    const answered = (factor: number) =>
      (goodput(level + load * factor, this.onTimeShare) - goodput(level, this.onTimeShare)) /
      factor;
    const usual = answered(1);
    return usual > 0 ? answered(pace) / usual : 1;
  }

  /** Returns the requests per second that become late or are refused without the replica on an engine. */
  lossWithout(held: HeldModel, lost: Site): number {
    const portion = lost.portions.get(held.model) ?? 0;
    if (portion === 0) return 0;
    const left = held.sites.filter((site) => site !== lost);
    const others = left.map((site) => this.withoutPortion(site, held.model));
    const before = held.sites.reduce((sum, site) => sum + this.lateAt(site), 0);
    const freed = this.lateAt(this.withoutPortion(lost, held.model));
    return -this.late(held, others, freed - before);
  }

  /** Returns the share of the engines that have an order under way or a planned move. */
  reservedShare(): number {
    const taken = this.sites.filter(({ isReserved }) => isReserved).length;
    return taken / Math.max(1, this.sites.length);
  }

  isRare(held: HeldModel): boolean {
    return held.perSecond < allocationRules.rarePerS;
  }

  /** Adds a replica that will be ready after `inMs`. */
  take(held: HeldModel, site: Site, inMs: Ms): void {
    const changed = held;
    changed.readyInMs = Math.min(held.readyInMs, inMs);
    this.version += 1;
    changed.sites = [...held.sites, site];
  }

  drop(held: HeldModel, site: Site): void {
    const changed = held;
    this.version += 1;
    this.setPortion(site, held.model, 0);
    changed.sites = held.sites.filter((other) => other !== site);
    changed.readyCount -= 1;
  }

  /**
   * Returns by how many requests per second lateness falls if a model's load is distributed over engines of these
   * levels. `change` is the lateness of other engines afterwards, minus that of all affected engines at present.
   */
  private late(held: HeldModel, basins: readonly Basin[], change: number): number {
    const sorted = [...basins].sort(byLevel);
    const level = waterFill(held.load, sorted);
    let after = change;
    for (const at of sorted) {
      after += this.lateAt({ level: Math.max(at.level, level), pace: at.pace });
    }
    // A slot serves fewer requests per second of a slow model.
    const requestsPerEngineS = held.load > 0 ? held.perSecond / held.load : this.requestsPerEngineS;
    return -after * requestsPerEngineS;
  }

  /** Returns the load of an engine that is late or refused, as a share of the slots of an engine of the usual pace. */
  private lateAt({ level, pace }: Basin): number {
    return (level - goodput(level, this.onTimeShare)) / pace;
  }

  private withoutPortion({ level, pace, portions }: Site, model: ModelId): Basin {
    return { level: level - (portions.get(model) ?? 0), pace };
  }

  private setPortion(site: Site, model: ModelId, portion: number): void {
    const changed = site;
    changed.level += portion - (site.portions.get(model) ?? 0);
    if (portion > 0) site.portions.set(model, portion);
    else site.portions.delete(model);
  }

  private siteOf(upstream: PlanInput['upstreams'][number]): Site {
    const { engine } = this.input;
    let freeMb = engine.weightsMb;
    for (const { model, adapters } of upstream.placed) {
      freeMb -= heldMb(engine, model, adapters.size);
    }
    const { placed, isBusy } = upstream;
    return {
      upstream,
      placed,
      pace: upstream.pace ?? 1,
      level: 0,
      portions: new Map(),
      isReserved: isBusy,
      freeMb,
      victims: { version: -1, byLoadMs: new Map() },
    };
  }

  /** Returns the share of an engine that its own rate limit makes unusable. */
  private limitedShare({ upstream }: Site): number {
    const { ratePerS } = upstream;
    if (ratePerS === undefined || this.requestsPerEngineS === 0) return 0;
    return Math.max(0, 1 - ratePerS / this.requestsPerEngineS);
  }

  private addHeldModels(site: Site): void {
    for (const { model, phase, ageMs } of site.placed) {
      const held = this.held.get(model);
      if (!held || phase === 'unloading') continue;
      held.sites.push(site);
      if (phase === 'ready') held.readyCount += 1;
      else held.readyInMs = Math.min(held.readyInMs, this.remainingLoadMs(model, ageMs));
    }
  }

  private remainingLoadMs(model: ModelId, ageMs: Ms): Ms {
    return Math.max(0, (this.input.engine.models.get(model)?.loadMs ?? 0) - ageMs);
  }
}

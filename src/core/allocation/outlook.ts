import type { ModelId, Ms } from '../../base/index.js';
import { allocationRules } from './allocationrules.js';
import { calmFill } from './calmfill.js';
import type { Held } from './held.js';
import { inTime } from './intime.js';

import type { PlanInput } from './planinput.js';
import { pour } from './pour.js';
import type { Site } from './site.js';

/** Fewer requests of a model at a time than this do not crowd an engine. */
const LEAST_CONCURRENCY = 0.5;
/** Requests of this many seconds are all that is seen of a queue: those who stand in it leave. */
const LONGEST_RUN_S = 2;

function byLevel(a: Site, b: Site): number {
  return a.level - b.level;
}

/**
 * What is expected of each engine, if the requests of each model go to the emptiest engines that hold it. Engines share
 * their time among all that they hold: a place beside a busy model is worth less than one on an idle engine.
 */
export class Outlook {
  readonly sites: readonly Site[];

  readonly held = new Map<ModelId, Held>();

  /** Counts the changes of what engines hold, so that what was worked out before one is known as old. */
  version = 0;

  private readonly calm: number;

  /** Requests a second that an engine answers with all slots taken. */
  private readonly perEngineS: number;

  constructor(readonly input: PlanInput) {
    const { engine, upstreams, demand, promptsPerPause } = input;
    this.calm = calmFill(promptsPerPause);
    this.sites = upstreams.map((upstream) => this.siteOf(upstream));
    const slots = Math.max(1, ...upstreams.map((one) => one.slots));
    let load = 0;
    let perSecond = 0;
    for (const model of engine.models.keys()) {
      const asked = demand.get(model);
      const concurrency = asked?.concurrency ?? 0;
      const held: Held = {
        model,
        sites: [],
        readyCount: 0,
        comingInMs: Infinity,
        load: concurrency >= LEAST_CONCURRENCY ? concurrency / slots : 0,
        // Requests that stand in a queue count as asked for within the longest time believed.
        perSecond: Math.max(asked?.perSecond ?? 0, concurrency / LONGEST_RUN_S),
      };
      this.held.set(model, held);
      load += held.load;
      perSecond += held.load > 0 ? held.perSecond : 0;
    }
    this.perEngineS = load > 0 ? perSecond / load : 0;
    for (const site of this.sites) {
      site.level = this.barredShare(site);
      this.noteHeld(site);
    }
  }

  /** Models with load, those with the least choice first: in this order they are to be spread. */
  busy(): readonly Held[] {
    const busy = [...this.held.values()].filter((one) => one.load > 0 && one.sites.length > 0);
    return busy.sort((a, b) => a.sites.length - b.sites.length);
  }

  /** Shares a model's load out anew over the engines that hold it. */
  spread(held: Held): void {
    const { model, sites, load } = held;
    for (const site of sites) this.setPortion(site, model, 0);
    if (load === 0 || sites.length === 0) return;
    const sorted = [...sites].sort(byLevel);
    const levels = sorted.map((site) => site.level);
    const level = pour(load, levels);
    for (const [at, site] of sorted.entries()) {
      if (levels[at]! < level) this.setPortion(site, model, level - levels[at]!);
    }
  }

  /** Requests a second that come in time because of a further place at an engine of this level. */
  gainAt(held: Held, level: number): number {
    if (held.load === 0) return 0;
    const others = held.sites.map((site) => site.level - (site.portions.get(held.model) ?? 0));
    const before = held.sites.reduce((sum, site) => sum + this.lateAt(site.level), 0);
    return this.late(held, [...others, level], -this.lateAt(level) - before);
  }

  /** Requests a second that come late, or find no place, once an engine has it no more. */
  lossWithout(held: Held, lost: Site): number {
    const portion = lost.portions.get(held.model) ?? 0;
    if (portion === 0) return 0;
    const left = held.sites.filter((site) => site !== lost);
    const others = left.map((site) => site.level - (site.portions.get(held.model) ?? 0));
    const before = held.sites.reduce((sum, site) => sum + this.lateAt(site.level), 0);
    const freed = this.lateAt(lost.level - portion);
    return -this.late(held, others, freed - before);
  }

  /** Part of the engines that have an order under way, or will. */
  takenShare(): number {
    const taken = this.sites.filter(({ isTaken }) => isTaken).length;
    return taken / Math.max(1, this.sites.length);
  }

  isRare(held: Held): boolean {
    return held.perSecond < allocationRules.rarePerS;
  }

  /** An engine will have the model after `inMs`. */
  take(held: Held, site: Site, inMs: Ms): void {
    const mark = held;
    mark.comingInMs = Math.min(held.comingInMs, inMs);
    this.version += 1;
    mark.sites = [...held.sites, site];
  }

  drop(held: Held, site: Site): void {
    const mark = held;
    this.version += 1;
    this.setPortion(site, held.model, 0);
    mark.sites = held.sites.filter((one) => one !== site);
    mark.readyCount -= 1;
  }

  /** Late requests a second that go away when a model's load stands level on engines of these levels. */
  private late(held: Held, levels: readonly number[], change: number): number {
    const sorted = [...levels].sort((a, b) => a - b);
    const level = pour(held.load, sorted);
    let after = change;
    for (const at of sorted) after += this.lateAt(Math.max(at, level));
    // A slot's time holds fewer requests of a slow model.
    const perSlotsS = held.load > 0 ? held.perSecond / held.load : this.perEngineS;
    return -after * perSlotsS;
  }

  /** Requests that are late or refused at an engine, as a part of what it answers with all slots taken. */
  private lateAt(level: number): number {
    return level - inTime(level, this.calm);
  }

  private setPortion(site: Site, model: ModelId, portion: number): void {
    const mark = site;
    mark.level += portion - (site.portions.get(model) ?? 0);
    if (portion > 0) site.portions.set(model, portion);
    else site.portions.delete(model);
  }

  private siteOf(upstream: PlanInput['upstreams'][number]): Site {
    const { engine } = this.input;
    let freeMb = engine.weightsMb;
    for (const { model, adapters } of upstream.placed) {
      const spec = engine.models.get(model);
      if (spec) freeMb -= spec.sizeMb + adapters.size * spec.adapterSizeMb;
    }
    const { placed, isBusy } = upstream;
    return {
      upstream,
      placed,
      level: 0,
      portions: new Map(),
      isTaken: isBusy,
      freeMb,
      victims: { version: -1, byLoadMs: new Map() },
    };
  }

  /** Part of an engine that its own limit bars: what is planned for it is what it takes. */
  private barredShare({ upstream }: Site): number {
    const { ratePerS } = upstream;
    if (ratePerS === undefined || this.perEngineS === 0) return 0;
    return Math.max(0, 1 - ratePerS / this.perEngineS);
  }

  private noteHeld(site: Site): void {
    for (const { model, phase, ageMs } of site.placed) {
      const held = this.held.get(model);
      if (!held || phase === 'unloading') continue;
      held.sites.push(site);
      if (phase === 'ready') held.readyCount += 1;
      else held.comingInMs = Math.min(held.comingInMs, this.leftMs(model, ageMs));
    }
  }

  private leftMs(model: ModelId, ageMs: Ms): Ms {
    return Math.max(0, (this.input.engine.models.get(model)?.loadMs ?? 0) - ageMs);
  }
}

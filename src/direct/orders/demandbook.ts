import type { ModelId, Ms, ServiceId } from '../../base/index.js';
import type { ModelDemand } from '../../core/fleetplan/index.js';
import type { DemandReport } from './demandreport.js';

interface Line {
  perSecond: number;
  /** The same over a shorter and a longer time: what parts them is the trend. */
  shortPerSecond: number;
  longPerSecond: number;
  concurrency: number;
  lastMs: Ms;
  /** When an upstream last had it ready, or it was first asked for. */
  readyAtMs: Ms;
  /** Running and waiting requests, by entry, as last told. */
  readonly byEntry: Map<string, { running: number; waiting: number; atMs: Ms }>;
}

/** Averages follow demand with this time constant: a shift takes 4 to 6 s. */
const MEMORY_MS = 2500;
/** Concurrency that rises is believed sooner: a model that becomes busy does so within 4 to 6 s. */
const RISE_MS = 600;
/** After this much of it the demand is known: a few requests for each model in use. */
const LEARN_MS = 4000;
/** An adapter asked for within this time counts as in use. */
const ADAPTER_IN_USE_MS = 3000;
/**
 * The trend of a model's requests is what their averages over these two times differ by. An average lags by
 * its time: carried on to now, and no further, plans earned 0.04 and 0.02 more of the worth of days whose
 * demand shifts (`npm run bench -- platform-policy`); carried on to the end of a load they earned less, as
 * places were taken from models that were still in use.
 */
const SHORT_MS = 600;
const LONG_MS = 2000;
/** A difference within this many standard deviations of Poisson arrivals is no trend. */
const NOISE = 1;
/** Longest mean time of a request that is believed: behind a queue it grows without saying more. */
const MOST_MEAN_S = 2;
/** One asked for within this time is taken as used now: an entry tells what runs every 250 ms. */
const ADAPTER_FRESH_MS = 300;
/** An entry that has told nothing for this long has gone. */
const SILENT_MS = 1500;
const MS_PER_S = 1000;

/** What all entries are asked for, as the holder of orders knows it. */
export class DemandBook {
  private readonly services = new Map<ServiceId, Map<ModelId, Line>>();

  private readonly adapters = new Map<ModelId, Map<string, Ms>>();

  /** Adapters, `model/adapter`, with requests at upstreams, by entry. */
  private readonly busy = new Map<string, { readonly adapters: Set<string>; readonly atMs: Ms }>();

  private firstMs: Ms | undefined;

  private updatedAtMs: Ms = 0;

  take({ entry, models }: DemandReport, nowMs: Ms): void {
    for (const line of this.lines()) line.byEntry.delete(entry);
    const busy = new Set<string>();
    this.busy.set(entry, { adapters: busy, atMs: nowMs });
    for (const report of models) {
      const { service, model, arrivals, running, waiting, adapters } = report;
      const line = this.line(service, model, nowMs);
      if (arrivals > 0 || waiting > 0) line.lastMs = nowMs;
      this.firstMs ??= nowMs;
      line.perSecond += (arrivals * MS_PER_S) / MEMORY_MS;
      line.shortPerSecond += (arrivals * MS_PER_S) / SHORT_MS;
      line.longPerSecond += (arrivals * MS_PER_S) / LONG_MS;
      line.byEntry.set(entry, { running, waiting, atMs: nowMs });
      for (const adapter of adapters) this.used(model, adapter, nowMs);
      for (const adapter of report.busyAdapters) busy.add(`${model}/${adapter}`);
    }
  }

  used(model: ModelId, adapter: string, nowMs: Ms): void {
    let adapters = this.adapters.get(model);
    if (!adapters) {
      adapters = new Map();
      this.adapters.set(model, adapters);
    }
    adapters.set(adapter, nowMs);
  }

  adapterUsedAtMs(model: ModelId, adapter: string): Ms {
    return this.adapters.get(model)?.get(adapter) ?? 0;
  }

  /** Whether some entry has, or is about to have, a request at an upstream that uses the adapter. */
  isAdapterBusy(model: ModelId, adapter: string, nowMs: Ms): boolean {
    const usedAtMs = this.adapters.get(model)?.get(adapter);
    if (usedAtMs !== undefined && nowMs - usedAtMs < ADAPTER_FRESH_MS) return true;
    const key = `${model}/${adapter}`;
    for (const { adapters, atMs } of this.busy.values()) {
      if (adapters.has(key) && nowMs - atMs < SILENT_MS) return true;
    }
    return false;
  }

  /** A model is wanted by someone whose next report has not come yet. */
  wanted(service: ServiceId, model: ModelId, nowMs: Ms): void {
    this.line(service, model, nowMs).lastMs = nowMs;
  }

  /** True once requests have been seen for long enough to tell what is asked for. */
  isDemandKnown(nowMs: Ms): boolean {
    return this.firstMs !== undefined && nowMs - this.firstMs > LEARN_MS;
  }

  private adaptersInUse(model: ModelId, nowMs: Ms): number {
    let count = 0;
    for (const usedAtMs of this.adapters.get(model)?.values() ?? []) {
      if (nowMs - usedAtMs < ADAPTER_IN_USE_MS) count += 1;
    }
    return count;
  }

  /** Brings the averages up to now. */
  advance(nowMs: Ms): void {
    const passedMs = nowMs - this.updatedAtMs;
    const kept = Math.exp(-passedMs / MEMORY_MS);
    const keptInRise = Math.exp(-passedMs / RISE_MS);
    this.updatedAtMs = nowMs;
    for (const line of this.lines()) {
      let current = 0;
      for (const [entry, { running, waiting, atMs }] of line.byEntry) {
        if (nowMs - atMs > SILENT_MS) line.byEntry.delete(entry);
        else current += running + waiting;
      }
      line.perSecond *= kept;
      line.shortPerSecond *= Math.exp(-passedMs / SHORT_MS);
      line.longPerSecond *= Math.exp(-passedMs / LONG_MS);
      const share = current > line.concurrency ? keptInRise : kept;
      line.concurrency = current + (line.concurrency - current) * share;
    }
  }

  of(
    service: ServiceId,
    nowMs: Ms,
    isReady: (model: ModelId) => boolean,
  ): ReadonlyMap<ModelId, ModelDemand> {
    const demand = new Map<ModelId, ModelDemand>();
    for (const [model, line] of this.services.get(service) ?? []) {
      let waiting = 0;
      for (const told of line.byEntry.values()) waiting += told.waiting;
      const { perSecond, lastMs } = line;
      const concurrency = this.expected(line);
      if (isReady(model)) line.readyAtMs = nowMs;
      const absentMs = nowMs - line.readyAtMs;
      const adaptersInUse = this.adaptersInUse(model, nowMs);
      const idleMs = nowMs - lastMs;
      demand.set(model, { concurrency, perSecond, waiting, adaptersInUse, absentMs, idleMs });
    }
    return demand;
  }

  /** Requests at a time as the trend of the rate makes them expected now: the average tells of 2.5 s ago. */
  private expected(line: Line): number {
    const { concurrency, perSecond, shortPerSecond, longPerSecond } = line;
    const gap = shortPerSecond - longPerSecond;
    const spread = Math.sqrt((longPerSecond * (MS_PER_S / SHORT_MS + MS_PER_S / LONG_MS)) / 2);
    if (Math.abs(gap) <= NOISE * spread) return concurrency;
    const sure = gap - Math.sign(gap) * NOISE * spread;
    const rate = Math.max(0, shortPerSecond + (sure * SHORT_MS) / (LONG_MS - SHORT_MS));
    const meanS = Math.min(MOST_MEAN_S, concurrency / Math.max(perSecond, 1));
    return Math.max(0, concurrency + (rate - perSecond) * meanS);
  }

  private *lines(): Iterable<Line> {
    for (const models of this.services.values()) yield* models.values();
  }

  private line(service: ServiceId, model: ModelId, nowMs: Ms): Line {
    let models = this.services.get(service);
    if (!models) {
      models = new Map();
      this.services.set(service, models);
    }
    let line = models.get(model);
    if (!line) {
      line = {
        perSecond: 0,
        shortPerSecond: 0,
        longPerSecond: 0,
        concurrency: 0,
        lastMs: nowMs,
        readyAtMs: nowMs,
        byEntry: new Map(),
      };
      models.set(model, line);
    }
    return line;
  }
}

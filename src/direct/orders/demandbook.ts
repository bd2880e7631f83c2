import type { ModelId, Ms, ServiceId } from '../../base/index.js';
import type { ModelDemand } from '../../core/allocation/index.js';
import type { DemandReport } from './demandreport.js';

interface Line {
  perSecond: number;
  /** The same over a shorter and a longer time: what parts them is the trend. */
  shortPerSecond: number;
  longPerSecond: number;
  /** The same over a time in which rare models are asked for a few times. */
  rarePerSecond: number;
  /** Requests that ended in a second, averaged. */
  endedPerSecond: number;
  /** Requests that found it nowhere, those of long ago forgotten. */
  missed: number;
  concurrency: number;
  /** Requests that ended, and what they took together, those of long ago forgotten. */
  endedCount: number;
  endedS: number;
  lastMs: Ms;
  /** Since when it has been asked for in vain, if it is. */
  missedSinceMs: Ms;
  /** Running and waiting requests, by entry, as last told. */
  readonly byEntry: Map<string, { running: number; waiting: number; atMs: Ms }>;
}

/** Averages follow demand with this time constant: a shift takes 4 to 6 s. */
const MEMORY_MS = 2500;
/** Concurrency that rises is believed sooner: a model that becomes busy does so within 4 to 6 s. */
const RISE_MS = 600;
/** Averages of the first seconds are corrected as if this much more time had been seen: one request is no rate. */
const DOUBT_MS = 1000;
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
/** A rate is believed if at least so many requests stand behind it; else the one over a longer time is. */
const LEAST_REQUESTS = 4;
const RARE_MS = 8000;
/** A model that is not asked for is asked for less often than once in this part of the time since. */
const SILENCE_SHARE = 1 / 3;
/** How long requests that found a model nowhere count: their callers come back within it. */
const MISSED_MS = 6000;
/** With less than this left of them nobody waits for it any more. */
const FORGOTTEN = 0.2;
/** Longest mean time of a request that is believed: behind a queue it grows without saying more. */
const MOST_MEAN_S = 2;
/** Before any request has ended. */
const UNKNOWN_MEAN_S = 0.7;
/** Requests that have ended before their mean time is believed. */
const LEAST_ENDED = 40;
/** Standard deviations of the mean time of so many requests, as that of one is about its mean, that prove nothing. */
const PACE_DOUBT = 2;
/** How long what a model's requests took counts: its pace does not change. */
const ENDED_MS = 30_000;
/** Time within which the mean time of a request follows what is measured. */
const MEAN_MS = 1000;
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

  /** Mean time of a request at an upstream that is not crowded, in s. */
  private readonly meanS = new Map<ServiceId, number>();

  private firstMs: Ms | undefined;

  private updatedAtMs: Ms = 0;

  take({ entry, models }: DemandReport, nowMs: Ms): void {
    for (const line of this.lines()) line.byEntry.delete(entry);
    const busy = new Set<string>();
    this.busy.set(entry, { adapters: busy, atMs: nowMs });
    for (const report of models) {
      const { service, model, arrivals, ended = 0, running, waiting, adapters } = report;
      const line = this.line(service, model, nowMs);
      if (arrivals > 0 || waiting > 0) line.lastMs = nowMs;
      this.firstMs ??= nowMs;
      line.perSecond += (arrivals * MS_PER_S) / MEMORY_MS;
      line.shortPerSecond += (arrivals * MS_PER_S) / SHORT_MS;
      line.longPerSecond += (arrivals * MS_PER_S) / LONG_MS;
      line.rarePerSecond += (arrivals * MS_PER_S) / RARE_MS;
      line.endedPerSecond += (ended * MS_PER_S) / MEMORY_MS;
      if (report.endedMs !== undefined) {
        line.endedCount += ended;
        line.endedS += report.endedMs / MS_PER_S;
      }
      if (running === 0 && arrivals > 0) {
        if (line.missed < FORGOTTEN) line.missedSinceMs = nowMs;
        line.missed += arrivals;
      }
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
    this.learnMeanS(passedMs);
    for (const line of this.lines()) {
      let current = 0;
      for (const [entry, { running, waiting, atMs }] of line.byEntry) {
        if (nowMs - atMs > SILENT_MS) line.byEntry.delete(entry);
        else current += running + waiting;
      }
      const keptOfEnded = Math.exp(-passedMs / ENDED_MS);
      line.endedCount *= keptOfEnded;
      line.endedS *= keptOfEnded;
      line.perSecond *= kept;
      line.endedPerSecond *= kept;
      line.rarePerSecond *= Math.exp(-passedMs / RARE_MS);
      line.missed *= Math.exp(-passedMs / MISSED_MS);
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
    const lines = this.services.get(service) ?? new Map<ModelId, Line>();
    const meanS = this.meanS.get(service) ?? UNKNOWN_MEAN_S;
    const meanRunS = this.meanRunS(service);
    const seenMs = nowMs - (this.firstMs ?? nowMs);
    for (const [model, line] of lines) {
      let waiting = 0;
      for (const told of line.byEntry.values()) waiting += told.waiting;
      if (isReady(model)) line.missed = 0;
      const idleMs = nowMs - line.lastMs;
      const perSecond = this.rate(line, idleMs, seenMs);
      demand.set(model, {
        concurrency: perSecond * meanS * this.paceOf(line, meanRunS),
        perSecond,
        waiting,
        missed: line.missed,
        adaptersInUse: this.adaptersInUse(model, nowMs),
        absentMs: line.missed < FORGOTTEN ? 0 : nowMs - line.missedSinceMs,
        idleMs,
      });
    }
    return demand;
  }

  /** Requests a second as the trend makes them expected now: the average tells of 2.5 s ago. */
  private rate(line: Line, idleMs: Ms, seenMs: Ms): number {
    const { shortPerSecond, longPerSecond, rarePerSecond } = line;
    // Averages begin at nothing: what rises in the first seconds is no trend.
    const perSecond = line.perSecond / (1 - Math.exp(-(seenMs + DOUBT_MS) / MEMORY_MS));
    if (seenMs < LEARN_MS) return perSecond;
    const gap = shortPerSecond - longPerSecond;
    const spread = Math.sqrt((longPerSecond * (MS_PER_S / SHORT_MS + MS_PER_S / LONG_MS)) / 2);
    if (Math.abs(gap) > NOISE * spread && longPerSecond * (LONG_MS / MS_PER_S) > LEAST_REQUESTS) {
      const sure = gap - Math.sign(gap) * NOISE * spread;
      return Math.max(0, shortPerSecond + (sure * SHORT_MS) / (LONG_MS - SHORT_MS));
    }
    if (perSecond * (MEMORY_MS / MS_PER_S) > LEAST_REQUESTS) return perSecond;
    return Math.min(rarePerSecond, MS_PER_S / (SILENCE_SHARE * Math.max(1, idleMs)));
  }

  /**
   * By Little's law, from what runs and what ends. What runs of one model says nothing of what is asked of it: while
   * its places are full the rest is refused, and 850 of 2,000 requests of a busy model were.
   */
  private learnMeanS(passedMs: Ms): void {
    for (const [service, lines] of this.services) {
      let running = 0;
      let endedPerSecond = 0;
      for (const line of lines.values()) {
        running += line.concurrency;
        endedPerSecond += line.endedPerSecond;
      }
      if (endedPerSecond * (MEMORY_MS / MS_PER_S) < LEAST_ENDED) continue;
      const known = this.meanS.get(service) ?? UNKNOWN_MEAN_S;
      const measured = Math.min(MOST_MEAN_S, running / endedPerSecond);
      const share = 1 - Math.exp(-passedMs / MEAN_MS);
      this.meanS.set(service, known + (measured - known) * share);
    }
  }

  /**
   * How long a model's requests take, as a part of what all of its service take; 1 unless it surely differs. Models
   * differ by their size (in pace from 0.23 to 1 where it was measured), and a slow one needs four times the places of
   * a fast one that is asked for as often. Chance taken for pace costs moves: 0.04 of the worth where all are alike
   * (study, six seeds).
   */
  private paceOf({ endedCount, endedS }: Line, meanRunS: number): number {
    if (meanRunS === 0 || endedCount === 0) return 1;
    const ratio = endedS / endedCount / meanRunS;
    const doubt = PACE_DOUBT / Math.sqrt(endedCount);
    if (Math.abs(ratio - 1) <= doubt) return 1;
    return ratio - Math.sign(ratio - 1) * doubt;
  }

  /** Mean time of the requests of a service that ended lately, in s. */
  private meanRunS(service: ServiceId): number {
    let count = 0;
    let sumS = 0;
    for (const { endedCount, endedS } of this.services.get(service)?.values() ?? []) {
      count += endedCount;
      sumS += endedS;
    }
    return count === 0 ? 0 : sumS / count;
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
        rarePerSecond: 0,
        endedPerSecond: 0,
        missed: 0,
        concurrency: 0,
        endedCount: 0,
        endedS: 0,
        lastMs: nowMs,
        missedSinceMs: nowMs,
        byEntry: new Map(),
      };
      models.set(model, line);
    }
    return line;
  }
}

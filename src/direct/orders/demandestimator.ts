import type { ModelId, Ms, ServiceId } from '../../base/index.js';
import type { ModelDemand } from '../../core/allocation/index.js';
import type { DemandReport } from './demandreport.js';

interface ModelStats {
  perSecond: number;
  /** The same averaged over a shorter and a longer time: their difference is the trend. */
  shortPerSecond: number;
  longPerSecond: number;
  /** The same averaged over a time in which rarely used models get a few requests. */
  rarePerSecond: number;
  /** Average of requests that ended per second. */
  endedPerSecond: number;
  /** Running requests as last reported. */
  running: number;
  /** Callers that were refused because all replicas were full, and have not returned yet. */
  returning: number;
  /** Callers that should have returned by now, and whose arrivals have not been left out yet. */
  returned: number;
  /** When a request was last refused because all replicas were full. */
  refusedFullAtMs: Ms;
  /** Requests that found no replica, decayed over time. */
  missed: number;
  concurrency: number;
  /** Ended requests and their total duration, decayed over time. */
  endedCount: number;
  endedS: number;
  lastMs: Ms;
  /** When streams that have to go on at a software version last asked for the model, by version. */
  readonly continuedAtMs: Map<string, Ms>;
  /** When the first of the current requests without a replica arrived. */
  missedSinceMs: Ms;
  /** Running and waiting requests, by entry, as last reported. */
  readonly byEntry: Map<string, { running: number; waiting: number; atMs: Ms }>;
}

/** Time constant of the averages: demand shifts within 4 to 6 s. */
const AVERAGE_MS = 2500;
/** Rising concurrency is followed sooner: a model becomes busy within 4 to 6 s. */
const RISE_MS = 600;
/**
 * Added to the observed time in the bias correction of young averages, so that one request does not count as a rate.
 */
const PRIOR_MS = 1000;
/** After this much observation the demand is known: a few requests for each model in use. */
const LEARN_MS = 4000;
/** An adapter requested within this time counts as in use. */
const ADAPTER_IN_USE_MS = 3000;
/**
 * Time constants of the two averages whose difference is the trend of a model's requests. An average lags by its time
 * constant. Where demand shifts, extrapolating the rate to the present raised the value of plans by 0.04 and 0.02 of
 * the achievable value; extrapolating it to the end of a load lowered the value, as models still in use lost replicas.
 */
const SHORT_MS = 600;
const LONG_MS = 2000;
/** A difference within this many standard deviations of Poisson arrivals is noise. */
const NOISE = 1;
/** A rate based on fewer requests is unreliable; the one over a longer time is used in its place. */
const MIN_REQUESTS = 4;
const RARE_MS = 8000;
/** The rate of an idle model is at most one request in this share of its idle time. */
const SILENCE_SHARE = 1 / 3;
/** How long requests that found no replica count: their callers retry within it. */
const MISSED_MS = 6000;
/** Below this decayed count no caller waits for the model any more. */
const MIN_MISSED = 0.2;
/** Bound on the mean duration of a request: with a queue, the duration grows and does not show the engine's speed. */
const MAX_MEAN_S = 2;
/** Assumed mean duration of a request before any has ended. */
const DEFAULT_MEAN_S = 0.7;
/** Ended requests needed before their mean duration is used. */
const MIN_ENDED = 40;
/** Standard deviations of a model's mean duration that count as noise; one duration deviates by about its mean. */
const PACE_NOISE = 2;
/** Time constant of a model's request durations: its pace does not change. */
const PACE_AVERAGE_MS = 30_000;
/** Time constant with which the mean duration of a request follows its measurements. */
const MEAN_AVERAGE_MS = 1000;
/** An adapter requested within this time counts as busy: entries report running requests every 250 ms. */
const ADAPTER_FRESH_MS = 300;
/** An entry that has not reported for this long is gone. */
const SILENT_MS = 1500;
/**
 * A caller that was refused returns after about this long, once. Its return is not counted as another arrival, as the
 * rate of a model would grow with the refusals.
 */
const RETURN_MS = 2000;
/** What waits in queues for a full replica is to be served within this: the horizon of a plan. */
const BACKLOG_S = 4;
const MS_PER_S = 1000;

/** Estimates demand for each model from the reports of all entries. Used by the order lease holder. */
export class DemandEstimator {
  private readonly services = new Map<ServiceId, Map<ModelId, ModelStats>>();

  private readonly adapters = new Map<ModelId, Map<string, Ms>>();

  /** Adapters, `model/adapter`, with requests at upstreams, by entry. */
  private readonly busy = new Map<string, { readonly adapters: Set<string>; readonly atMs: Ms }>();

  /** Mean duration of a request at an upstream without a queue, in s. */
  private readonly meanS = new Map<ServiceId, number>();

  private firstMs: Ms | undefined;

  private updatedAtMs: Ms = 0;

  /** `isLoadAware` tells which services count queues and returning callers; by default none does. */
  constructor(private readonly isLoadAware: (service: ServiceId) => boolean = () => false) {}

  take({ entry, models }: DemandReport, nowMs: Ms): void {
    for (const stats of this.allStats()) stats.byEntry.delete(entry);
    const busy = new Set<string>();
    this.busy.set(entry, { adapters: busy, atMs: nowMs });
    for (const report of models) {
      const { service, model, ended = 0, running, waiting, adapters } = report;
      const stats = this.stats(service, model, nowMs);
      const arrivals = this.firstArrivals(stats, report, nowMs);
      if (arrivals > 0 || waiting > 0) stats.lastMs = nowMs;
      this.firstMs ??= nowMs;
      stats.perSecond += (arrivals * MS_PER_S) / AVERAGE_MS;
      stats.shortPerSecond += (arrivals * MS_PER_S) / SHORT_MS;
      stats.longPerSecond += (arrivals * MS_PER_S) / LONG_MS;
      stats.rarePerSecond += (arrivals * MS_PER_S) / RARE_MS;
      stats.endedPerSecond += (ended * MS_PER_S) / AVERAGE_MS;
      if (report.endedMs !== undefined) {
        stats.endedCount += ended;
        stats.endedS += report.endedMs / MS_PER_S;
      }
      if (running === 0 && arrivals > 0) {
        if (stats.missed < MIN_MISSED) stats.missedSinceMs = nowMs;
        stats.missed += arrivals;
      }
      stats.byEntry.set(entry, { running, waiting, atMs: nowMs });
      for (const adapter of adapters) this.adapterUsed(model, adapter, nowMs);
      for (const adapter of report.busyAdapters) busy.add(`${model}/${adapter}`);
    }
  }

  /** Returns the arrivals of a report without the expected returns of callers that were refused before. */
  private firstArrivals(
    stats: ModelStats,
    { service, arrivals, refusedFull = 0 }: DemandReport['models'][number],
    nowMs: Ms,
  ): number {
    const changed = stats;
    if (refusedFull > 0) changed.refusedFullAtMs = nowMs;
    if (!this.isLoadAware(service)) return arrivals;
    const returned = Math.min(stats.returned, arrivals);
    changed.returned -= returned;
    changed.returning += refusedFull;
    return arrivals - returned;
  }

  /** Returns the models of a service with requests refused since `sinceMs` because all their replicas were full. */
  refusedFullSince(service: ServiceId, sinceMs: Ms): readonly ModelId[] {
    const models = [...(this.services.get(service) ?? [])];
    return models.filter(([, stats]) => stats.refusedFullAtMs >= sinceMs).map(([model]) => model);
  }

  adapterUsed(model: ModelId, adapter: string, nowMs: Ms): void {
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

  /** True if some entry has, or is about to send, a request that uses the adapter. */
  isAdapterBusy(model: ModelId, adapter: string, nowMs: Ms): boolean {
    const usedAtMs = this.adapters.get(model)?.get(adapter);
    if (usedAtMs !== undefined && nowMs - usedAtMs < ADAPTER_FRESH_MS) return true;
    const key = `${model}/${adapter}`;
    for (const { adapters, atMs } of this.busy.values()) {
      if (adapters.has(key) && nowMs - atMs < SILENT_MS) return true;
    }
    return false;
  }

  /** Records a request for a model that no report contains yet, of a stream of `softwareVersion` if given. */
  wanted(service: ServiceId, model: ModelId, nowMs: Ms, softwareVersion?: string): void {
    const stats = this.stats(service, model, nowMs);
    stats.lastMs = nowMs;
    if (softwareVersion !== undefined) stats.continuedAtMs.set(softwareVersion, nowMs);
  }

  /** Returns the software versions at which streams of a model wait to be continued; undefined if there are none. */
  private continuedAt({ continuedAtMs }: ModelStats, nowMs: Ms): ReadonlySet<string> | undefined {
    for (const [version, atMs] of continuedAtMs) {
      if (nowMs - atMs > MISSED_MS) continuedAtMs.delete(version);
    }
    return continuedAtMs.size === 0 ? undefined : new Set(continuedAtMs.keys());
  }

  /** True once requests have been observed for long enough to estimate demand. */
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

  /** Decays the averages up to now. */
  advance(nowMs: Ms): void {
    const elapsedMs = nowMs - this.updatedAtMs;
    const kept = Math.exp(-elapsedMs / AVERAGE_MS);
    const keptInRise = Math.exp(-elapsedMs / RISE_MS);
    const keptOfReturning = Math.exp(-elapsedMs / RETURN_MS);
    this.updatedAtMs = nowMs;
    this.updateMeanS(elapsedMs);
    for (const stats of this.allStats()) {
      let current = 0;
      let runningNow = 0;
      for (const [entry, { running, waiting, atMs }] of stats.byEntry) {
        if (nowMs - atMs > SILENT_MS) stats.byEntry.delete(entry);
        else {
          current += running + waiting;
          runningNow += running;
        }
      }
      const returnedNow = stats.returning * (1 - keptOfReturning);
      stats.returning -= returnedNow;
      // Some callers do not return: what was not found among the arrivals is forgotten.
      stats.returned = stats.returned * kept + returnedNow;
      const keptOfEnded = Math.exp(-elapsedMs / PACE_AVERAGE_MS);
      stats.endedCount *= keptOfEnded;
      stats.endedS *= keptOfEnded;
      stats.perSecond *= kept;
      stats.endedPerSecond *= kept;
      stats.rarePerSecond *= Math.exp(-elapsedMs / RARE_MS);
      stats.missed *= Math.exp(-elapsedMs / MISSED_MS);
      stats.shortPerSecond *= Math.exp(-elapsedMs / SHORT_MS);
      stats.longPerSecond *= Math.exp(-elapsedMs / LONG_MS);
      const share = current > stats.concurrency ? keptInRise : kept;
      stats.concurrency = current + (stats.concurrency - current) * share;
      stats.running = runningNow + (stats.running - runningNow) * kept;
    }
  }

  estimate(
    service: ServiceId,
    nowMs: Ms,
    isReady: (model: ModelId) => boolean,
  ): ReadonlyMap<ModelId, ModelDemand> {
    const demand = new Map<ModelId, ModelDemand>();
    const allStats = this.services.get(service) ?? new Map<ModelId, ModelStats>();
    const meanS = this.meanS.get(service) ?? DEFAULT_MEAN_S;
    const meanRunS = this.meanRunS(service);
    const observedMs = nowMs - (this.firstMs ?? nowMs);
    for (const [model, stats] of allStats) {
      let waiting = 0;
      const continuedAt = this.continuedAt(stats, nowMs);
      const continued = continuedAt && { continuedAt };
      for (const report of stats.byEntry.values()) waiting += report.waiting;
      if (isReady(model)) stats.missed = 0;
      const idleMs = nowMs - stats.lastMs;
      const isQueued = this.isLoadAware(service) && isReady(model);
      const backlogPerSecond = isQueued ? waiting / BACKLOG_S : 0;
      const perSecond = this.rate(stats, idleMs, observedMs) + backlogPerSecond;
      demand.set(model, {
        concurrency: perSecond * meanS * this.paceOf(stats, meanRunS),
        perSecond,
        waiting,
        missed: stats.missed,
        adaptersInUse: this.adaptersInUse(model, nowMs),
        ...continued,
        absentMs: stats.missed < MIN_MISSED ? 0 : nowMs - stats.missedSinceMs,
        idleMs,
      });
    }
    return demand;
  }

  /** Returns the rate extrapolated to now by its trend: the plain average lags by 2.5 s. */
  private rate(stats: ModelStats, idleMs: Ms, observedMs: Ms): number {
    const { shortPerSecond, longPerSecond, rarePerSecond } = stats;
    // Averages start at zero: their rise in the first seconds is not a trend.
    const perSecond = stats.perSecond / (1 - Math.exp(-(observedMs + PRIOR_MS) / AVERAGE_MS));
    if (observedMs < LEARN_MS) return perSecond;
    const gap = shortPerSecond - longPerSecond;
    const spread = Math.sqrt((longPerSecond * (MS_PER_S / SHORT_MS + MS_PER_S / LONG_MS)) / 2);
    if (Math.abs(gap) > NOISE * spread && longPerSecond * (LONG_MS / MS_PER_S) > MIN_REQUESTS) {
      const trend = gap - Math.sign(gap) * NOISE * spread;
      return Math.max(0, shortPerSecond + (trend * SHORT_MS) / (LONG_MS - SHORT_MS));
    }
    if (perSecond * (AVERAGE_MS / MS_PER_S) > MIN_REQUESTS) return perSecond;
    return Math.min(rarePerSecond, MS_PER_S / (SILENCE_SHARE * Math.max(1, idleMs)));
  }

  /**
   * Estimates a service's mean request duration by Little's law, from running and ended requests. The running
   * requests of one model alone don't show its demand: while its replicas are full, further requests are refused
   * (850 of 2,000 requests for a busy model were).
   */
  private updateMeanS(elapsedMs: Ms): void {
    for (const [service, allStats] of this.services) {
      let running = 0;
      let endedPerSecond = 0;
      // What waits in a queue says nothing about the duration of a request at an upstream.
      const isLoadAware = this.isLoadAware(service);
      for (const stats of allStats.values()) {
        running += isLoadAware ? stats.running : stats.concurrency;
        endedPerSecond += stats.endedPerSecond;
      }
      if (endedPerSecond * (AVERAGE_MS / MS_PER_S) < MIN_ENDED) continue;
      const known = this.meanS.get(service) ?? DEFAULT_MEAN_S;
      const measured = Math.min(MAX_MEAN_S, running / endedPerSecond);
      const share = 1 - Math.exp(-elapsedMs / MEAN_AVERAGE_MS);
      this.meanS.set(service, known + (measured - known) * share);
    }
  }

  /**
   * Returns the mean duration of a model's requests relative to its service's; 1 unless it differs significantly.
   * Models differ by their size (in pace from 0.23 to 1), and a slow one needs four times the replicas of a fast one
   * with the same rate. Mistaking noise for pace causes needless moves: they cost 0.04 of the achievable value where
   * all models are alike.
   */
  private paceOf({ endedCount, endedS }: ModelStats, meanRunS: number): number {
    if (meanRunS === 0 || endedCount === 0) return 1;
    const ratio = endedS / endedCount / meanRunS;
    const tolerance = PACE_NOISE / Math.sqrt(endedCount);
    if (Math.abs(ratio - 1) <= tolerance) return 1;
    return ratio - Math.sign(ratio - 1) * tolerance;
  }

  /** Returns the mean duration of a service's recently ended requests, in s. */
  private meanRunS(service: ServiceId): number {
    let count = 0;
    let sumS = 0;
    for (const { endedCount, endedS } of this.services.get(service)?.values() ?? []) {
      count += endedCount;
      sumS += endedS;
    }
    return count === 0 ? 0 : sumS / count;
  }

  private *allStats(): Iterable<ModelStats> {
    for (const models of this.services.values()) yield* models.values();
  }

  private stats(service: ServiceId, model: ModelId, nowMs: Ms): ModelStats {
    let models = this.services.get(service);
    if (!models) {
      models = new Map();
      this.services.set(service, models);
    }
    let stats = models.get(model);
    if (!stats) {
      stats = {
        perSecond: 0,
        shortPerSecond: 0,
        longPerSecond: 0,
        rarePerSecond: 0,
        endedPerSecond: 0,
        running: 0,
        returning: 0,
        returned: 0,
        refusedFullAtMs: -Infinity,
        missed: 0,
        concurrency: 0,
        endedCount: 0,
        endedS: 0,
        lastMs: nowMs,
        continuedAtMs: new Map(),
        missedSinceMs: nowMs,
        byEntry: new Map(),
      };
      models.set(model, stats);
    }
    return stats;
  }
}

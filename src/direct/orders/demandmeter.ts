import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { Target } from '../route/index.js';
import type { DemandReport } from './demandreport.js';
import type { ResidencyCursor } from './residencycursor.js';

interface Counts {
  readonly service: ServiceId;
  readonly model: ModelId;
  arrivals: number;
  ended: number;
  endedMs: Ms;
  running: number;
  waiting: number;
  refusedFull: number;
  adapters: Set<string>;
  /** Requests at upstreams, by adapter. */
  readonly runningByAdapter: Map<string, number>;
}

/** Counts this entry's requests for each model. */
export class DemandMeter {
  private readonly counts = new Map<string, Counts>();

  constructor(
    private readonly entry: string,
    private readonly address: string,
  ) {}

  arrived(target: Target): void {
    const counts = this.countsOf(target);
    if (!counts) return;
    counts.arrivals += 1;
    if (target.adapter !== undefined) counts.adapters.add(target.adapter);
  }

  /** Counts a request that was sent to an upstream. */
  began(target: Target): void {
    this.changed(target, 1);
  }

  /** Counts a request that ended after `tookMs` at an upstream. */
  ended(target: Target, tookMs: Ms): void {
    const counts = this.changed(target, -1);
    if (!counts) return;
    counts.ended += 1;
    counts.endedMs += tookMs;
  }

  private changed(target: Target, change: 1 | -1): Counts | undefined {
    const counts = this.countsOf(target);
    if (counts) this.change(counts, target, change);
    return counts;
  }

  private change(counts: Counts, { adapter }: Target, change: 1 | -1): void {
    const target = counts;
    target.running += change;
    if (adapter === undefined) return;
    const running = (counts.runningByAdapter.get(adapter) ?? 0) + change;
    if (running > 0) counts.runningByAdapter.set(adapter, running);
    else counts.runningByAdapter.delete(adapter);
  }

  waiting(target: Target, change: 1 | -1): void {
    const counts = this.countsOf(target);
    if (counts) counts.waiting += change;
  }

  /** Counts a first try that was refused because all upstreams with its model were full. */
  refusedFull(target: Target): void {
    const counts = this.countsOf(target);
    if (counts) counts.refusedFull += 1;
  }

  /** Returns the counts since the last report and resets them; models without activity are left out. */
  report(lost: readonly UpstreamId[] = [], heard?: ResidencyCursor): DemandReport {
    const models: DemandReport['models'][number][] = [];
    for (const [key, counts] of this.counts) {
      const { service, model, arrivals, ended, endedMs, running, waiting, adapters } = counts;
      const { refusedFull } = counts;
      if (arrivals + ended + refusedFull === 0 && running === 0 && waiting === 0) {
        this.counts.delete(key);
        continue;
      }
      const busyAdapters = [...counts.runningByAdapter.keys()];
      models.push({
        service,
        model,
        arrivals,
        ended,
        endedMs: Math.round(endedMs),
        running,
        waiting,
        ...(refusedFull > 0 ? { refusedFull } : {}),
        adapters: [...adapters],
        busyAdapters,
      });
      counts.arrivals = 0;
      counts.ended = 0;
      counts.endedMs = 0;
      counts.refusedFull = 0;
      counts.adapters = new Set();
    }
    return { entry: this.entry, address: this.address, models, lost, heard };
  }

  private countsOf({ service, model }: Target): Counts | undefined {
    if (model === undefined) return undefined;
    const key = `${service}/${model}`;
    let counts = this.counts.get(key);
    if (!counts) {
      counts = {
        service,
        model,
        arrivals: 0,
        ended: 0,
        endedMs: 0,
        running: 0,
        waiting: 0,
        refusedFull: 0,
        adapters: new Set(),
        runningByAdapter: new Map(),
      };
      this.counts.set(key, counts);
    }
    return counts;
  }
}

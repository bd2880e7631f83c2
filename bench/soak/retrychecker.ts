import type { Call, CallKind } from './call.js';
import { retryExcess } from './retryexcess.js';
import { retryTerms } from './retryterms.js';
import type { Site } from './site.js';

type Service = 'plain' | 'engine' | 'other';

/** What the promise checker provides. */
interface RetryCheckerOptions {
  readonly site: Site;
  readonly breach: (promise: string, detail: string) => void;
}

const SERVICES: Readonly<Record<CallKind, Service>> = {
  lookup: 'plain',
  charge: 'plain',
  probe: 'plain',
  crash: 'plain',
  draft: 'engine',
  batch: 'engine',
  deadly: 'engine',
  // Some of these reach `plain`; not to count them as its requests makes the check stricter.
  moving: 'other',
  timed: 'other',
};

/** Checks that all entries together stay within the retry budget, by what reached the servers. */
export class RetryChecker {
  constructor(
    private readonly options: RetryCheckerOptions,
    private readonly calls: readonly Call[],
  ) {}

  judge(): void {
    for (const service of ['plain', 'engine'] as const) {
      const own = this.calls.filter(({ kind }) => SERVICES[kind] === service);
      const retries = this.retryTimes(service);
      const excess = retryExcess(
        own.map(({ sentAtMs }) => sentAtMs),
        retries,
        retryTerms,
      );
      if (excess <= 0) continue;
      const detail = `${service}: ${excess.toFixed(1)} too many in a window`;
      this.options.breach('retries stay within their budget over all entries', detail);
    }
  }

  /** Returns the times of arrivals beyond the first of each request; refused ones count. */
  private retryTimes(service: Service): number[] {
    const timesById = new Map<string, number[]>();
    for (const { server } of this.options.site.servers) {
      if (server.service !== service) continue;
      for (const { id, atMs } of [...server.requestLog, ...server.refusals]) {
        const times = timesById.get(id) ?? [];
        times.push(atMs);
        timesById.set(id, times);
      }
    }
    return [...timesById.values()].flatMap((times) => times.sort((a, b) => a - b).slice(1));
  }
}

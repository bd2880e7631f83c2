import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Metrics } from '../../port/index.js';

type Tags = Readonly<Record<string, string>>;

/** Upper bounds of histogram buckets, in ms: from the load time of an adapter to the longest deadline. */
const BUCKETS_MS = [10, 25, 50, 100, 150, 250, 500, 1000, 2000, 4000, 8000, 16_000];

function metricName(name: string): string {
  return `tarragonstile_${name.replaceAll(/[^a-z0-9]+/gi, '_')}`;
}

/** Metrics in memory, exposed as text. A metric is created when its name is first used. */
export class TextMetrics implements Metrics {
  private readonly registry = new Registry();

  private readonly counters = new Map<string, Counter>();

  private readonly gauges = new Map<string, Gauge>();

  private readonly histograms = new Map<string, Histogram>();

  count(name: string, value = 1, tags: Tags = {}): void {
    let counter = this.counters.get(name);
    if (!counter) {
      counter = new Counter(this.options(name, tags));
      this.counters.set(name, counter);
    }
    counter.inc({ ...tags }, value);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    let gauge = this.gauges.get(name);
    if (!gauge) {
      gauge = new Gauge(this.options(name, tags));
      this.gauges.set(name, gauge);
    }
    gauge.set({ ...tags }, value);
  }

  histogram(name: string, value: number, tags: Tags = {}): void {
    let histogram = this.histograms.get(name);
    if (!histogram) {
      histogram = new Histogram({ ...this.options(name, tags), buckets: BUCKETS_MS });
      this.histograms.set(name, histogram);
    }
    histogram.observe({ ...tags }, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private options(name: string, tags: Tags) {
    const help = `See docs/METRICS.md: ${name}.`;
    return {
      name: metricName(name),
      help,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

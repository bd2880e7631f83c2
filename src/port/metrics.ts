/** Counters, gauges and histograms. Each name is listed with its unit in docs/METRICS.md. */
export interface Metrics {
  count(name: string, value?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  histogram(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
}

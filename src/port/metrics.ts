/** Counters, gauges and histograms. docs/METRICS.md lists each name with its unit. */
export interface Metrics {
  count(name: string, value?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  histogram(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
}

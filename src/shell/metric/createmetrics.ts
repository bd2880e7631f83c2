import { StatsD } from 'hot-shots';
import type { Metrics } from '../../port/index.js';

type MetricsDriver = Metrics & { close(): void };

const MAX_DATAGRAM_BYTES = 1400;

// The mock mode of hot-shots stores every message, so it can't be used for this.
const NO_METRICS: MetricsDriver = { count() {}, gauge() {}, histogram() {}, close() {} };

/** Creates a driver that sends metrics as statsd datagrams over UDP. Without an address it discards them. */
export function createMetrics(
  process: string,
  address: { readonly host: string; readonly port: number } | undefined,
): MetricsDriver {
  if (!address) return NO_METRICS;
  const client = new StatsD({
    ...address,
    prefix: `tarragonstile.${process}.`,
    maxBufferSize: MAX_DATAGRAM_BYTES,
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    histogram: (name, value, tags = {}) => client.histogram(name, value, { ...tags }),
    close: () => client.close(() => {}),
  };
}

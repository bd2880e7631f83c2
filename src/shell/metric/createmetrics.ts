import { StatsD } from 'hot-shots';
import type { Metrics } from '../../port/index.js';

type MetricsDriver = Metrics & { close(): void };

const MAX_DATAGRAM_BYTES = 1400;

// The library's own mock keeps every message, so it is no way to send nothing.
const NOTHING: MetricsDriver = { count() {}, gauge() {}, histogram() {}, close() {} };

/** Sends metrics as statsd datagrams over UDP; without an address it sends nothing. */
export function createMetrics(
  process: string,
  address: { readonly host: string; readonly port: number } | undefined,
): MetricsDriver {
  if (!address) return NOTHING;
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

import { StatsD } from 'hot-shots';
import type { Metrics } from '../../port/index.js';

/** Sends metrics as statsd datagrams over UDP; without an address it sends nothing. */
export function createMetrics(
  process: string,
  address: { readonly host: string; readonly port: number } | undefined,
): Metrics & { close(): void } {
  const client = new StatsD({
    host: address?.host ?? '127.0.0.1',
    port: address?.port ?? 8125,
    prefix: `tarragonstile.${process}.`,
    mock: !address,
    maxBufferSize: address ? 1400 : 0,
    errorHandler: () => {},
  });
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, { ...tags }),
    gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
    histogram: (name, value, tags = {}) => client.histogram(name, value, { ...tags }),
    close: () => client.close(() => {}),
  };
}

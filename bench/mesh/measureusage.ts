import type { Cluster } from './cluster.js';
import { traffic } from './traffic.js';

const SECOND_MS = 1000;
const MICROS_PER_MS = 1000;
const PERCENT = 100;

interface ResourceUsage {
  readonly meanSentBytesPerSecond: number;
  readonly maxSentBytesPerSecond: number;
  readonly meanReceivedBytesPerSecond: number;
  readonly maxReceivedBytesPerSecond: number;
  /** Percentage of one CPU core, including a share of the stand-in store and of the benchmark itself. */
  readonly cpuPercentPerNode: number;
  readonly seconds: number;
}

/** Measures the resource usage of a cluster's nodes while `act` runs. */
export async function measureUsage(
  cluster: Cluster,
  act: () => Promise<void>,
): Promise<ResourceUsage> {
  const ids = cluster.live().map(({ id }) => id);
  const before = traffic.read(ids);
  const cpu = process.cpuUsage();
  const startMs = performance.now();
  await act();
  const elapsedMs = performance.now() - startMs;
  const cpuUsage = process.cpuUsage(cpu);
  const after = traffic.read(ids);
  const rates = (side: 'sentBytes' | 'receivedBytes') =>
    ids.map((id) => {
      const bytes = (after.get(id)?.[side] ?? 0) - (before.get(id)?.[side] ?? 0);
      return (bytes * SECOND_MS) / elapsedMs;
    });
  const sent = rates('sentBytes');
  const received = rates('receivedBytes');
  const mean = (values: readonly number[]) =>
    Math.round(values.reduce((sum, value) => sum + value, 0) / values.length);
  const cpuMs = (cpuUsage.user + cpuUsage.system) / MICROS_PER_MS;
  return {
    meanSentBytesPerSecond: mean(sent),
    maxSentBytesPerSecond: Math.round(Math.max(...sent)),
    meanReceivedBytesPerSecond: mean(received),
    maxReceivedBytesPerSecond: Math.round(Math.max(...received)),
    cpuPercentPerNode: Math.round((cpuMs / elapsedMs / ids.length) * PERCENT * 100) / 100,
    seconds: Math.round(elapsedMs / SECOND_MS),
  };
}

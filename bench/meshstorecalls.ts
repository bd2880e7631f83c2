import { Cluster } from './mesh/cluster.js';

const NODE_COUNTS = [8, 16, 32, 64];
const SETTLE_MS = 1500;
const MEASURED_MS = 10_000;
/** Interval of 54,000 changes per day. */
const CHANGE_INTERVAL_MS = 1600;
const SECOND_MS = 1000;
const HUNDREDTHS = 100;

async function measure(nodeCount: number): Promise<object> {
  const cluster = await Cluster.start({ entryCount: nodeCount });
  await cluster.pause(SETTLE_MS);
  const { taken } = cluster.store.meter;
  const before = taken.read;
  const startMs = performance.now();
  while (performance.now() - startMs < MEASURED_MS) {
    await cluster.write();
    await cluster.pause(CHANGE_INTERVAL_MS);
  }
  const seconds = (performance.now() - startMs) / SECOND_MS;
  const readsPerSecond = Math.round(((taken.read - before) / seconds) * HUNDREDTHS) / HUNDREDTHS;
  const watches = cluster.relays().length;
  await cluster.close();
  return { nodeCount, readsPerSecond, readsAtStart: before, watches };
}

/** Measures store calls by fleet size at 54,000 changes per day. */
export async function meshStoreCalls(): Promise<object> {
  const fleets: object[] = [];
  for (const nodeCount of NODE_COUNTS) fleets.push(await measure(nodeCount));
  return { changeIntervalMs: CHANGE_INTERVAL_MS, measuredMs: MEASURED_MS, fleets };
}

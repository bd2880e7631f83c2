import type { MeshOptions } from '../src/core/mesh/index.js';
import { Cluster } from './mesh/cluster.js';
import { summary } from './mesh/summary.js';
import { traffic } from './mesh/traffic.js';

const ENTRY_COUNT = 48;
const SIDECAR_COUNT = 16;
const NODE_COUNT = ENTRY_COUNT + SIDECAR_COUNT;
const CHANGE_COUNT = 25;
const FROZEN_CHANGE_COUNT = 5;
const GAP_MS = 40;
/** A pull interval of one hour in effect turns pulls off, so that only the fan-out is measured. */
const PULLS_OFF_INTERVAL_MS = 3_600_000;
/** A node without the change after this time counts as missed by the fan-out. */
const MISSED_AFTER_MS = 2000;
/** Time after which every node has read the complete host list. */
const HOST_LIST_READ_MS = 1500;

/** Index of the first node after the two relays. It is a child of the root in every shape except the ring. */
const FIRST_CHILD_INDEX = 2;

const SHAPES: Readonly<Record<string, number>> = {
  star: NODE_COUNT,
  treeOfDegree8: 8,
  treeOfDegree4: 4,
  treeOfDegree2: 2,
  ring: 1,
};

async function changes(cluster: Cluster, count: number): Promise<readonly (readonly number[])[]> {
  const times: (readonly number[])[] = [];
  for (let index = 0; index < count; index += 1) {
    const startMs = performance.now();
    const revision = await cluster.write();
    times.push(await cluster.propagationTimes(revision, startMs, MISSED_AFTER_MS));
    await cluster.pause(GAP_MS);
  }
  return times;
}

function report(times: readonly (readonly number[])[]): object {
  const missed = times.flat().filter((ms) => ms >= MISSED_AFTER_MS).length;
  const slowest = times.map((perNode) => Math.max(...perNode));
  return { toEachNode: summary(times.flat()), toAllNodes: summary(slowest), missed };
}

function bytesPerChange(cluster: Cluster, before: ReturnType<typeof traffic.read>): object {
  const ids = cluster.live().map(({ id }) => id);
  const after = traffic.read(ids);
  const sent = ids.map((id) => (after.get(id)?.sentBytes ?? 0) - (before.get(id)?.sentBytes ?? 0));
  const mean = sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
  return {
    meanSentBytesPerChange: Math.round(mean / CHANGE_COUNT),
    maxSentBytesPerChange: Math.round(Math.max(...sent) / CHANGE_COUNT),
  };
}

/** Measures changes while a node in the middle of the fan-out does not answer; its connections stay open. */
async function measureWithFrozenNode(cluster: Cluster): Promise<object> {
  const child = cluster.fanOutOrder()[FIRST_CHILD_INDEX];
  if (!child) return {};
  const unfreeze = cluster.freeze(child.id);
  const times = await changes(cluster, FROZEN_CHANGE_COUNT);
  unfreeze();
  return report(times);
}

async function measure(degree: number): Promise<object> {
  const tuning: Partial<MeshOptions> = { degree, pullIntervalMs: PULLS_OFF_INTERVAL_MS };
  const cluster = await Cluster.start({
    entryCount: ENTRY_COUNT,
    sidecarCount: SIDECAR_COUNT,
    tuning,
  });
  await cluster.pause(HOST_LIST_READ_MS);
  await changes(cluster, 3);
  const before = traffic.read(cluster.live().map(({ id }) => id));
  const times = await changes(cluster, CHANGE_COUNT);
  const bytes = bytesPerChange(cluster, before);
  const stopped = await measureWithFrozenNode(cluster);
  await cluster.close();
  return { degree, ...bytes, ...report(times), oneStopped: stopped };
}

/** Compares star, tree and ring fan-outs in one run, with the same nodes and documents. */
export async function meshFanout(): Promise<object> {
  const shapes: Record<string, object> = {};
  for (const [name, degree] of Object.entries(SHAPES)) shapes[name] = await measure(degree);
  return { nodeCount: NODE_COUNT, pulls: 'off', shapes };
}

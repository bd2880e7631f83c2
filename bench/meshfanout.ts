import type { MeshOptions } from '../src/core/mesh/index.js';
import { Cluster } from './mesh/cluster.js';
import { summary } from './mesh/summary.js';
import { traffic } from './mesh/traffic.js';

const ENTRY_COUNT = 48;
const SIDECAR_COUNT = 16;
const NODE_COUNT = ENTRY_COUNT + SIDECAR_COUNT;
const CHANGE_COUNT = 25;
const STOPPED_COUNT = 5;
const GAP_MS = 40;
/** Pulls are nearly off, so that the fan-out alone is seen. */
const RARELY_MS = 3_600_000;
/** Time after which a node that the fan-out has missed counts as missed. */
const LIMIT_MS = 2000;
/** Every node has read the whole host list after this. */
const LISTED_MS = 1500;

/** The first place after the two relays: the root's child in every shape but the ring. */
const MIDDLE = 2;

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
    times.push(await cluster.spread(revision, startMs, LIMIT_MS));
    await cluster.pause(GAP_MS);
  }
  return times;
}

function report(times: readonly (readonly number[])[]): object {
  const missed = times.flat().filter((ms) => ms >= LIMIT_MS).length;
  const all = times.map((each) => Math.max(...each));
  return { toEachNode: summary(times.flat()), toAllNodes: summary(all), missed };
}

function bytesOfChange(cluster: Cluster, before: ReturnType<typeof traffic.read>): object {
  const ids = cluster.live().map(({ id }) => id);
  const after = traffic.read(ids);
  const sent = ids.map((id) => (after.get(id)?.sentBytes ?? 0) - (before.get(id)?.sentBytes ?? 0));
  const mean = sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
  return {
    meanSentBytesPerChange: Math.round(mean / CHANGE_COUNT),
    maxSentBytesPerChange: Math.round(Math.max(...sent) / CHANGE_COUNT),
  };
}

/** A node in the middle of the fan-out stops answering; its connections stay open. */
async function stopOne(cluster: Cluster): Promise<object> {
  const middle = cluster.fanOutOrder()[MIDDLE];
  if (!middle) return {};
  const thaw = cluster.freeze(middle.id);
  const times = await changes(cluster, STOPPED_COUNT);
  thaw();
  return report(times);
}

async function measure(degree: number): Promise<object> {
  const tuning: Partial<MeshOptions> = { degree, pullIntervalMs: RARELY_MS };
  const cluster = await Cluster.start({
    entryCount: ENTRY_COUNT,
    sidecarCount: SIDECAR_COUNT,
    tuning,
  });
  await cluster.pause(LISTED_MS);
  await changes(cluster, 3);
  const before = traffic.read(cluster.live().map(({ id }) => id));
  const times = await changes(cluster, CHANGE_COUNT);
  const bytes = bytesOfChange(cluster, before);
  const stopped = await stopOne(cluster);
  await cluster.close();
  return { degree, ...bytes, ...report(times), oneStopped: stopped };
}

/** Star, trees and ring as ways of fan-out, in one run over the same nodes and documents. */
export async function meshFanout(): Promise<object> {
  const shapes: Record<string, object> = {};
  for (const [name, degree] of Object.entries(SHAPES)) shapes[name] = await measure(degree);
  return { nodeCount: NODE_COUNT, pulls: 'off', shapes };
}

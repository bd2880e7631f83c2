import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { serviceKey } from '../src/core/acceptance/index.js';
import type { BoardRecord } from '../src/shell/board/index.js';
import { UpstreamRecord } from '../src/wire/index.js';
import { Cluster } from './mesh/cluster.js';
import { measureUsage } from './mesh/measureusage.js';

const PHASE_MS = 8000;
/** Interval of 54,000 changes per day. */
const CHANGE_INTERVAL_MS = 1600;
/** Upstreams of a region of full size, and a quarter and half of them to show how cost scales. */
const UPSTREAM_COUNTS = [273, 546, 1091];
const REGION_ENTRIES = 47;
/** Interval between changes of one upstream's record. */
const RECORD_INTERVAL_MS = 60_000;
const BURST_MS = 100;
const RESIDENT_COUNT = 5;
const OWN_REGION = 'cantabrico';
const OTHER_REGIONS = 10;
const GIGABYTE = 1_000_000_000;

function recordOf(index: number, sequence: number): BoardRecord {
  const upstream = `redactor-${index}`;
  const residents = Array.from({ length: RESIDENT_COUNT }, (_, place) => ({
    model: `redactor-model-${(index * RESIDENT_COUNT + place) % 1200}`,
    version: 'v3',
    adapters: [],
    phase: 'ready',
    sizeBytes: (place + 1) * GIGABYTE,
  }));
  const demand = residents.map(({ model }) => ({
    model,
    askedCount: 1000 + sequence,
    refusedCount: sequence,
    serviceTimeMs: 40_000 + sequence,
  }));
  const value = UpstreamRecord.encode(
    UpstreamRecord.fromPartial({
      upstream,
      service: 'redactor',
      incarnation: 7,
      sequence,
      phase: 'ready',
      address: `10.4.${index % 256}.7:7400`,
      availabilityZone: 'oviedo-a',
      residents,
      demand,
      freeBytes: 3 * GIGABYTE,
    }),
  ).finish();
  const key = `upstream/redactor/${upstream}`;
  return { key, epoch: 7, sequence, value: Buffer.from(value) };
}

const collectGarbage = (() => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
})();

/** Returns the heap in use after a garbage collection, plus array buffers outside the heap. */
function liveHeapBytes(): number {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

async function repeatForPhase(act: (elapsedMs: number) => Promise<void>): Promise<void> {
  const startMs = performance.now();
  while (performance.now() - startMs < PHASE_MS) await act(performance.now() - startMs);
}

async function documents(): Promise<object> {
  const cluster = await Cluster.start({ entryCount: 48, sidecarCount: 16 });
  await cluster.pause(2000);
  const idle = await measureUsage(cluster, () => cluster.pause(PHASE_MS));
  const changing = await measureUsage(cluster, () =>
    repeatForPhase(async () => {
      await cluster.write();
      await cluster.pause(CHANGE_INTERVAL_MS);
    }),
  );
  await cluster.close();
  return { nodeCount: 64, idle, changing };
}

/** Measures a single relay while the documents of all regions change in turn at the total change rate. */
async function regions(): Promise<object> {
  const cluster = await Cluster.start({ entryCount: 1 });
  const names = [OWN_REGION, ...Array.from({ length: OTHER_REGIONS }, (_, at) => `region-${at}`)];
  for (const name of names) await cluster.write(name);
  await cluster.pause(2000);
  const { model } = cluster.store;
  const valueBytes = Buffer.byteLength(
    model.list(serviceKey.under(OWN_REGION)).items[0]?.value ?? '',
  );
  const usage = await measureUsage(cluster, async () => {
    for (const name of names) {
      await cluster.write(name);
      await cluster.pause(CHANGE_INTERVAL_MS);
    }
  });
  await cluster.close();
  return { regionCount: names.length, valueBytes, ...usage };
}

/** Measures entries while every upstream's record changes once a minute. Each entry publishes a share of them. */
async function upstreams(count: number): Promise<object> {
  const cluster = await Cluster.start({ entryCount: REGION_ENTRIES });
  const heapBytes = liveHeapBytes();
  for (let index = 0; index < count; index += 1) cluster.publish(recordOf(index, 1), index);
  const hasAllRecords = () =>
    cluster.live().every(({ board }) => board.status().recordCount > count);
  const spreadToAll = await cluster.waitUntil(hasAllRecords, 20_000);
  const heapGrowthBytes = liveHeapBytes() - heapBytes;
  let next = 0;
  const usage = await measureUsage(cluster, () =>
    repeatForPhase(async (elapsedMs) => {
      const due = (elapsedMs / RECORD_INTERVAL_MS) * count;
      for (; next < due; next += 1) cluster.publish(recordOf(next % count, 2 + next), next);
      await cluster.pause(BURST_MS);
    }),
  );
  await cluster.close();
  const heapBytesPerRecord = Math.round(heapGrowthBytes / count / REGION_ENTRIES);
  const recordBytes = recordOf(0, 1).value.length;
  return { upstreamCount: count, spreadToAll, recordBytes, heapBytesPerRecord, ...usage };
}

/**
 * Measures the bytes, CPU time and memory that the mesh uses on each node. With the argument `regions`, measures only
 * what a relay receives from the store.
 */
export async function meshCost([scope]: readonly string[] = []): Promise<object> {
  const ofRegions = await regions();
  if (scope === 'regions') return { changeIntervalMs: CHANGE_INTERVAL_MS, ofRegions };
  const ofDocuments = await documents();
  const ofUpstreams: object[] = [];
  for (const count of UPSTREAM_COUNTS) ofUpstreams.push(await upstreams(count));
  return {
    phaseMs: PHASE_MS,
    ofRegions,
    ofDocuments,
    recordIntervalMs: RECORD_INTERVAL_MS,
    ofUpstreams,
  };
}

import { setTimeout as wait } from 'node:timers/promises';
import type { Bench } from './bench.js';
import { requestStream } from './path/requeststream.js';
import { callAtRate } from './path/callatrate.js';
import { BenchPath } from './path/benchpath.js';
import { Relay } from './path/relay.js';
import { processUsage } from './path/processusage.js';

const REQUESTS_PER_SECOND = 58;
const SECONDS = 8;
const WARM_SECONDS = 2;
const TOKEN_MS = 10;
const TOKENS = 20;
const MS_PER_SECOND = 1000;
const PERCENT = 100;

interface Phase {
  readonly entryCpuPercent: number;
  readonly entryRssBytes: number;
  readonly sidecarCpuPercent: number;
  readonly sidecarRssBytes: number;
  readonly hopBytesPerSecond: number;
}

async function measure(path: BenchPath, relay: Relay, work: Promise<void>): Promise<Phase> {
  const { entry, sidecar } = path;
  const before = [processUsage(entry.pid), processUsage(sidecar.pid)] as const;
  const [fromBytes, fromMs] = [relay.bytes, performance.now()];
  await work;
  const tookMs = performance.now() - fromMs;
  const after = [processUsage(entry.pid), processUsage(sidecar.pid)] as const;
  const percent = (end: 0 | 1) => ((after[end].cpuMs - before[end].cpuMs) / tookMs) * PERCENT;
  return {
    entryCpuPercent: percent(0),
    entryRssBytes: after[0].rssBytes,
    sidecarCpuPercent: percent(1),
    sidecarRssBytes: after[1].rssBytes,
    hopBytesPerSecond: ((relay.bytes - fromBytes) * MS_PER_SECOND) / tookMs,
  };
}

/**
 * Measures memory and processor use of an entry and a sidecar, and the traffic between them, when idle and at 58
 * requests per second.
 */
export const pathIdle: Bench = async () => {
  const relay = new Relay();
  const path = await BenchPath.start({
    tokenMs: TOKEN_MS,
    tokens: TOKENS,
    relay: (port) => relay.open(port),
  });
  let payloadBytes = 0;
  const load = (seconds: number) =>
    callAtRate(REQUESTS_PER_SECOND, seconds, async () => {
      const { bodyBytes } = await requestStream(path.entryUrl, TOKENS);
      payloadBytes += bodyBytes;
    });
  const idle = await measure(path, relay, wait(SECONDS * MS_PER_SECOND));
  await load(WARM_SECONDS);
  const connected = await measure(path, relay, wait(SECONDS * MS_PER_SECOND));
  payloadBytes = 0;
  const loaded = await measure(path, relay, load(SECONDS));
  await path.stop();
  relay.close();
  const payloadBytesPerSecond = payloadBytes / SECONDS;
  const controlBytesPerSecond = loaded.hopBytesPerSecond - payloadBytesPerSecond;
  return { idle, connected, loaded: { ...loaded, payloadBytesPerSecond, controlBytesPerSecond } };
};

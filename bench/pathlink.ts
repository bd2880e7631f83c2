import type { Bench } from './bench.js';
import { BenchProcess } from './path/benchprocess.js';
import { processUsage } from './path/processusage.js';

const STREAMS = 1200;
const TOKENS_PER_SECOND = 46_000;
const WARM_SECONDS = 3;
const SECONDS = 6;
const MS_PER_SECOND = 1000;
const US_PER_MS = 1000;

/** Progress line that the client prints every second. */
interface Progress {
  readonly tokenCount: number;
  readonly lost: number;
  readonly atMs: number;
}

async function progressAfter(client: BenchProcess<object>, seconds: number): Promise<Progress> {
  let progress = await client.nextLine<Progress>();
  for (let second = 1; second < seconds; second += 1) progress = await client.nextLine<Progress>();
  return progress;
}

async function measure(link: 'shared' | 'stream', peers: number): Promise<object> {
  const intervalMs = (STREAMS / TOKENS_PER_SECOND) * MS_PER_SECOND;
  const options = { peers, intervalMs, tokens: 1_000_000 };
  const source = await BenchProcess.start<{ ports: number[] }>('source', options);
  const { ports } = source.ready;
  const client = await BenchProcess.start<object>('linkclient', { link, ports, streams: STREAMS });
  const from = await progressAfter(client, WARM_SECONDS);
  const before = [processUsage(client.pid), processUsage(source.pid)] as const;
  const to = await progressAfter(client, SECONDS);
  const after = [processUsage(client.pid), processUsage(source.pid)] as const;
  await client.stop();
  await source.stop();
  const tokens = to.tokenCount - from.tokenCount;
  const tookMs = to.atMs - from.atMs;
  const usPerToken = (end: 0 | 1) => ((after[end].cpuMs - before[end].cpuMs) * US_PER_MS) / tokens;
  return {
    link,
    peers,
    tokensPerSecond: Math.round((tokens * MS_PER_SECOND) / tookMs),
    entryEndUsPerToken: usPerToken(0),
    sidecarEndUsPerToken: usPerToken(1),
    entryEndCores: (after[0].cpuMs - before[0].cpuMs) / tookMs,
    entryEndRssBytes: after[0].rssBytes,
    lost: to.lost,
  };
}

/** Compares one gRPC stream per request with one shared stream per sidecar, at the same load. */
export const pathLink: Bench = async () => {
  const runs: object[] = [];
  for (const peers of [8, 48]) {
    runs.push(await measure('stream', peers));
    runs.push(await measure('shared', peers));
  }
  return { streams: STREAMS, offeredTokensPerSecond: TOKENS_PER_SECOND, runs };
};

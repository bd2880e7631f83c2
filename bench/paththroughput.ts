import { setTimeout as wait } from 'node:timers/promises';
import type { Bench } from './bench.js';
import { BenchProcess } from './path/benchprocess.js';
import { startReader } from './path/startreader.js';
import { startBenchEntry } from './path/startbenchentry.js';
import { processUsage } from './path/processusage.js';

const STREAMS = 1200;
const DEFAULT_RATE = 46_000;
const PEERS = 48;
const WARM_MS = 4000;
const MEASURED_MS = 8000;
const MS_PER_SECOND = 1000;
const US_PER_MS = 1000;

/** Measures tokens per second through one entry process over 1,200 live streams; an argument sets the offered rate. */
export const pathThroughput: Bench = async ([offered]) => {
  const rate = Number(offered ?? DEFAULT_RATE);
  const intervalMs = (STREAMS / rate) * MS_PER_SECOND;
  const options = { peers: PEERS, intervalMs, tokens: 1_000_000 };
  const source = await BenchProcess.start<{ ports: number[] }>('source', options);
  const addresses = source.ready.ports.map((port) => `127.0.0.1:${port}`);
  const entry = await startBenchEntry(addresses, STREAMS);
  const counts = { tokens: 0, bytes: 0, broken: 0 };
  const sockets = Array.from({ length: STREAMS }, () => startReader(entry.port, counts));
  await wait(WARM_MS);
  const [from, before, fromMs] = [{ ...counts }, processUsage(entry.pid), performance.now()];
  await wait(MEASURED_MS);
  const [to, after, toMs] = [{ ...counts }, processUsage(entry.pid), performance.now()];
  for (const socket of sockets) socket.destroy();
  await entry.end('SIGTERM');
  await source.stop();
  const tokens = to.tokens - from.tokens;
  const cpuMs = after.cpuMs - before.cpuMs;
  return {
    streams: STREAMS,
    sidecars: PEERS,
    offeredTokensPerSecond: rate,
    tokensPerSecond: Math.round((tokens * MS_PER_SECOND) / (toMs - fromMs)),
    bytesPerToken: (to.bytes - from.bytes) / tokens,
    broken: to.broken,
    entryCores: cpuMs / (toMs - fromMs),
    entryUsPerToken: (cpuMs * US_PER_MS) / tokens,
    entryRssBytes: after.rssBytes,
  };
};

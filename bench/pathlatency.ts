import { build, type Histogram } from 'hdr-histogram-js';
import type { Bench } from './bench.js';
import { requestStream } from './path/requeststream.js';
import { callAtRate } from './path/callatrate.js';
import { BenchPath } from './path/benchpath.js';
import { processUsage } from './path/processusage.js';

const REQUESTS_PER_SECOND = 58;
/** Enough warm-up requests for the just-in-time compiler, as after a minute of normal load. */
const WARM_REQUESTS_PER_SECOND = 250;
const WARM_SECONDS = 4;
const SECONDS = 10;
const COST_SECONDS = 5;
const TOKEN_MS = 8;
const FEW_TOKENS = 2;
const MANY_TOKENS = 42;
const US_PER_MS = 1000;

function summary(histogram: Histogram): object {
  const ms = (percentile: number) => histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return { count: histogram.totalCount, p50Ms: ms(50), p95Ms: ms(95), p99Ms: ms(99) };
}

/** Measures the first token through the entry and directly from the engine, alternating within the same run. */
async function compare(path: BenchPath): Promise<object> {
  const histograms = [build(), build()] as const;
  const urls = [path.entryUrl, path.engineUrl] as const;
  let broken = 0;
  await callAtRate(2 * REQUESTS_PER_SECOND, SECONDS, async (index) => {
    const side = (index % 2) as 0 | 1;
    const { firstTokenMs, isComplete } = await requestStream(urls[side], FEW_TOKENS);
    histograms[side].recordValue(Math.round(firstTokenMs * US_PER_MS));
    if (!isComplete) broken += 1;
  });
  const [through, direct] = histograms;
  const addedUs = through.getValueAtPercentile(95) - direct.getValueAtPercentile(95);
  return {
    through: summary(through),
    direct: summary(direct),
    addedP95Ms: addedUs / US_PER_MS,
    broken,
  };
}

/** Measures the processor time in ms of entry and sidecar for one request with the given number of tokens. */
async function cost(path: BenchPath, tokens: number): Promise<{ entry: number; sidecar: number }> {
  const { entry, sidecar } = path;
  const before = [processUsage(entry.pid).cpuMs, processUsage(sidecar.pid).cpuMs] as const;
  await callAtRate(REQUESTS_PER_SECOND, COST_SECONDS, async () => {
    await requestStream(path.entryUrl, tokens);
  });
  const count = REQUESTS_PER_SECOND * COST_SECONDS;
  return {
    entry: (processUsage(entry.pid).cpuMs - before[0]) / count,
    sidecar: (processUsage(sidecar.pid).cpuMs - before[1]) / count,
  };
}

/** Measures the latency that the path adds to the first token at 58 requests/s, and the cost per request and token. */
export const pathLatency: Bench = async () => {
  const path = await BenchPath.start({ tokenMs: TOKEN_MS, tokens: MANY_TOKENS });
  await callAtRate(WARM_REQUESTS_PER_SECOND, WARM_SECONDS, async () => {
    await requestStream(path.entryUrl, FEW_TOKENS);
  });
  const first = await compare(path);
  const few = await cost(path, FEW_TOKENS);
  const many = await cost(path, MANY_TOKENS);
  await path.stop();
  const perToken = (end: 'entry' | 'sidecar') =>
    (many[end] - few[end]) / (MANY_TOKENS - FEW_TOKENS);
  const perRequest = (end: 'entry' | 'sidecar') => few[end] - FEW_TOKENS * perToken(end);
  return {
    requestsPerSecond: REQUESTS_PER_SECOND,
    firstToken: first,
    entryCpuMsPerRequest: perRequest('entry'),
    entryCpuMsPerToken: perToken('entry'),
    sidecarCpuMsPerRequest: perRequest('sidecar'),
    sidecarCpuMsPerToken: perToken('sidecar'),
  };
};

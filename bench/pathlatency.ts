import { build, type Histogram } from 'hdr-histogram-js';
import type { Bench } from './bench.js';
import { askStream } from './path/askstream.js';
import { atRate } from './path/atrate.js';
import { BenchPath } from './path/benchpath.js';
import { usageOf } from './path/usage.js';

const REQUESTS_PER_SECOND = 58;
/** Enough requests that the processes run compiled code, as they do after a minute of work. */
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

/** First tokens through the entry and straight from the engine, in turn, so that both share a run. */
async function compare(path: BenchPath): Promise<object> {
  const histograms = [build(), build()] as const;
  const urls = [path.entryUrl, path.engineUrl] as const;
  let broken = 0;
  await atRate(2 * REQUESTS_PER_SECOND, SECONDS, async (index) => {
    const side = (index % 2) as 0 | 1;
    const { firstTokenMs, whole } = await askStream(urls[side], FEW_TOKENS);
    histograms[side].recordValue(Math.round(firstTokenMs * US_PER_MS));
    if (!whole) broken += 1;
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

/** Processor time of entry and sidecar for one request with so many tokens. */
async function cost(path: BenchPath, tokens: number): Promise<{ entry: number; sidecar: number }> {
  const { entry, sidecar } = path;
  const before = [usageOf(entry.pid).cpuMs, usageOf(sidecar.pid).cpuMs] as const;
  await atRate(REQUESTS_PER_SECOND, COST_SECONDS, async () => {
    await askStream(path.entryUrl, tokens);
  });
  const count = REQUESTS_PER_SECOND * COST_SECONDS;
  return {
    entry: (usageOf(entry.pid).cpuMs - before[0]) / count,
    sidecar: (usageOf(sidecar.pid).cpuMs - before[1]) / count,
  };
}

/** What the path adds to the first token at 58 requests a second, and what requests and tokens cost. */
export const pathLatency: Bench = async () => {
  const path = await BenchPath.start({ tokenMs: TOKEN_MS, tokens: MANY_TOKENS });
  await atRate(WARM_REQUESTS_PER_SECOND, WARM_SECONDS, async () => {
    await askStream(path.entryUrl, FEW_TOKENS);
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

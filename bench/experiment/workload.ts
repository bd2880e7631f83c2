import type { Kind } from '../../src/core/document/index.js';
import type { Curve } from '../../standin/index.js';
import type { WorkloadRequest } from './workloadrequest.js';
import { capacityPerMs, costMs, prefixTokensOf } from './cost.js';
import type { Deployment, Traffic } from './deployment.js';
import { popularityOf } from './popularity.js';
import { Random } from './random.js';

const SLICE_MS = 200;
const SHIFT_INTERVAL_MS = 150_000;
const SHIFT_DURATION_MS = 30_000;
const SHIFT_FACTOR = Math.sqrt(10);
const BURST_INTERVAL_MS = 60_000;
const BURST_DURATION_MS = 5000;
const BURST_FACTOR = 6;
/** Plain services receive calls from all clients together, so their bursts are smaller. */
const PLAIN_BURST_FACTOR = 2;
const PREFIXES_PER_MODEL = 6;
const PROBE_INTERVAL_MS = 20_000;

/** Parameters of a workload. */
export interface WorkloadOptions {
  readonly seed: number;
  /** Offered load as a multiple of the hardware's capacity. */
  readonly load: number;
  readonly durationMs: number;
  readonly curve: Curve;
  /** Multiplies the requests of the largest customer; 1 by default. */
  readonly largestFactor?: number;
  /** Multiplies the long jobs; 1 by default. */
  readonly longFactor?: number;
  /** Demand for each model changes by up to ten times; true by default. */
  readonly shifts?: boolean;
  /** Sends at least one request per model every 20 s, so that its availability is observed; true by default. */
  readonly probes?: boolean;
}

/** A source of requests: one model, one kind, and the largest customer or all others. */
interface Source {
  readonly model: string;
  readonly traffic: Traffic;
  readonly kind: Kind;
  readonly largest: boolean;
  /** Mean requests per ms. */
  readonly rate: number;
}

/** Demand at a given time, as a multiple of the mean. */
type Multiplier = (atMs: number) => number;

interface Demand {
  /** Changes by up to ten times within 30 s, at random times. */
  readonly level: Multiplier;
  /** Short bursts of high demand. */
  readonly burst: Multiplier;
}

const STEADY: Multiplier = () => 1;

function levelOf({ durationMs }: WorkloadOptions, random: Random): Multiplier {
  const draw = () => Math.exp(random.between(-1, 1) * Math.log(SHIFT_FACTOR));
  const shifts = [{ atMs: -SHIFT_DURATION_MS, level: draw() }];
  for (let atMs = 0; atMs < durationMs;) {
    atMs += random.exponential(SHIFT_INTERVAL_MS);
    shifts.push({ atMs, level: draw() });
  }
  return (atMs) => {
    const index = shifts.findLastIndex((shift) => shift.atMs <= atMs);
    const to = shifts[index]!;
    const from = shifts[Math.max(0, index - 1)]!;
    const fraction = Math.min(1, (atMs - to.atMs) / SHIFT_DURATION_MS);
    return from.level + (to.level - from.level) * fraction;
  };
}

function burstOf({ durationMs }: WorkloadOptions, factor: number, random: Random): Multiplier {
  const starts: number[] = [];
  for (let atMs = 0; atMs < durationMs;) {
    atMs += random.exponential(BURST_INTERVAL_MS);
    starts.push(atMs);
  }
  const burstFraction = 1 - Math.exp(-BURST_DURATION_MS / BURST_INTERVAL_MS);
  const base = 1 / (1 + (factor - 1) * burstFraction);
  return (atMs) => {
    const burst = starts.some((startMs) => atMs >= startMs && atMs < startMs + BURST_DURATION_MS);
    return burst ? base * factor : base;
  };
}

function demandOf(options: WorkloadOptions, model: string): Demand {
  if (options.shifts === false) return { level: STEADY, burst: STEADY };
  const random = new Random(options.seed, `demand ${model}`);
  const level = levelOf(options, random);
  const factor = model ? BURST_FACTOR : PLAIN_BURST_FACTOR;
  return { level: model ? level : STEADY, burst: burstOf(options, factor, random) };
}

function meanCostMs(curve: Curve, traffic: Traffic): number {
  const prefixTokens = prefixTokensOf(traffic.promptTokens);
  return costMs(curve, { ...traffic, prefixTokens });
}

/** Request rates per ms that fill the capacity of the engines and of the plain services. */
function fullRates({ document, traffic }: Deployment, curve: Curve) {
  const count = (type: 'engine' | 'plain') =>
    document.groups
      .filter((group) => group.type === type)
      .reduce(
        (sum, { slots, upstreams }) =>
          sum + upstreams.length * (type === 'engine' ? capacityPerMs(curve) : slots),
        0,
      );
  const mean = (plain: boolean) =>
    traffic
      .filter(({ serviceMs }) => serviceMs > 0 === plain)
      .reduce((sum, kindTraffic) => sum + kindTraffic.fraction * meanCostMs(curve, kindTraffic), 0);
  return { engine: count('engine') / mean(false), plain: count('plain') / mean(true) };
}

function sourcesOf(deployment: Deployment, options: WorkloadOptions): readonly Source[] {
  const { document, traffic, largestFraction } = deployment;
  const full = fullRates(deployment, options.curve);
  const popularity = popularityOf(deployment, options.seed);
  const sources: Source[] = [];
  for (const kindTraffic of traffic) {
    const kind = document.kinds.find(({ name }) => name === kindTraffic.kind)!;
    const models = document.models.filter(({ defaultKind }) => {
      const own = document.kinds.find(({ name }) => name === defaultKind)!;
      return kind.longJob ? own.priority === 'normal' : defaultKind === kind.name;
    });
    const sum = models.reduce((total, { id }) => total + popularity.get(id)!, 0);
    const targets =
      kindTraffic.serviceMs > 0
        ? [{ model: '', fraction: 1 }]
        : models.map(({ id }) => ({ model: id, fraction: popularity.get(id)! / sum }));
    const fullRate = kindTraffic.serviceMs > 0 ? full.plain : full.engine;
    const factor = kind.longJob ? (options.longFactor ?? 1) : 1;
    for (const { model, fraction } of targets) {
      const rate = options.load * fullRate * kindTraffic.fraction * fraction * factor;
      const source = { model, traffic: kindTraffic, kind };
      const largestRate = rate * largestFraction * (options.largestFactor ?? 1);
      sources.push({ ...source, largest: true, rate: largestRate });
      sources.push({ ...source, largest: false, rate: rate * (1 - largestFraction) });
    }
  }
  return sources;
}

function poisson(random: Random, mean: number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random.next(); product > limit; product *= random.next()) count += 1;
  return count;
}

/** Returns the factor that keeps the sum of all models' levels at its mean. */
function correctionAt(
  demands: ReadonlyMap<string, Demand>,
  popularity: ReadonlyMap<string, number>,
  atMs: number,
): number {
  let sum = 0;
  for (const [model, { level }] of demands) sum += (popularity.get(model) ?? 0) * level(atMs);
  return 1 / sum;
}

/** Draws the requests of one run, in order of arrival. */
export function workload(
  deployment: Deployment,
  options: WorkloadOptions,
): readonly WorkloadRequest[] {
  const { seed, durationMs } = options;
  const popularity = popularityOf(deployment, seed);
  const models = deployment.document.models.map(({ id }) => id as string);
  const demands = new Map(['', ...models].map((id) => [id, demandOf(options, id)]));
  const smallCustomers = deployment.document.customers.slice(1);
  const largestCustomer = deployment.document.customers[0]!.id;
  const slices = Math.ceil(durationMs / SLICE_MS);
  const corrections = Array.from({ length: slices }, (_, at) =>
    correctionAt(demands, popularity, at * SLICE_MS),
  );
  const requests: Omit<WorkloadRequest, 'requestId'>[] = [];
  for (const source of sourcesOf(deployment, options)) {
    const { model, traffic, kind, largest, rate } = source;
    const name = `${model} ${kind.name} ${largest}`;
    const random = new Random(seed, name);
    const { level, burst } = demands.get(model)!;
    const draw = (atMs: number) => {
      const promptTokens = traffic.promptTokens > 0 ? random.size(traffic.promptTokens) : 0;
      requests.push({
        atMs,
        kind,
        model,
        promptTokens,
        customer: largest
          ? largestCustomer
          : smallCustomers[Math.floor(random.next() * smallCustomers.length)]!.id,
        outputTokens: traffic.outputTokens > 0 ? random.size(traffic.outputTokens) : 0,
        prefix: `${model} ${kind.name} ${Math.floor(random.next() * PREFIXES_PER_MODEL)}`,
        prefixTokens: prefixTokensOf(promptTokens),
        serviceMs: traffic.serviceMs > 0 ? random.size(traffic.serviceMs) : 0,
      });
    };
    for (let at = 0; at < slices; at += 1) {
      const atMs = at * SLICE_MS;
      const correction = model ? corrections[at]! : 1;
      const mean = rate * SLICE_MS * level(atMs) * burst(atMs) * correction;
      for (let left = poisson(random, mean); left > 0; left -= 1) {
        draw(atMs + random.next() * SLICE_MS);
      }
    }
    const probes = options.probes !== false && model && !largest && !kind.longJob;
    for (let atMs = random.next() * PROBE_INTERVAL_MS; probes && atMs < durationMs;) {
      draw(atMs);
      atMs += PROBE_INTERVAL_MS;
    }
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  return requests.map((ask, index) => ({ ...ask, requestId: `r${index}` }));
}

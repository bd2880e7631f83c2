import { holtLog, peakHold, smooth, type Forecaster } from '../src/core/forecast/index.js';
import { Random } from './experiment/index.js';

const STEP_MS = 2_000;
const HORIZON_STEPS = 5;
const MINUTES = 120;
const STEPS = (MINUTES * 60_000) / STEP_MS;
const SEEDS = [1, 2, 3, 4, 5];
/** An underestimate costs answers, an overestimate only memory. */
const UNDERESTIMATE_COST = 4;

/** Poisson arrivals at a rate that changes by up to ten times within the hour, with short bursts. */
function series(seed: number): readonly number[] {
  const random = new Random(seed, 'forecast');
  const draw = () => 5 * Math.exp(random.between(-1, 1) * Math.log(Math.sqrt(10)));
  const rates: number[] = [];
  let level = draw();
  let target = level;
  let burst = 0;
  for (let step = 0; step < STEPS; step += 1) {
    if (random.next() < STEP_MS / 600_000) target = draw();
    if (random.next() < STEP_MS / 60_000) burst = 3;
    level *= (target / level) ** 0.1;
    burst = Math.max(0, burst - 1);
    const mean = level * (burst > 0 ? 3 : 1) * (STEP_MS / 1_000);
    let count = 0;
    for (let left = Math.exp(-mean), product = random.next(); product > left; count += 1) {
      product *= random.next();
    }
    rates.push(count / (STEP_MS / 1_000));
  }
  return rates;
}

function score<State>(forecaster: Forecaster<State>, rates: readonly number[]) {
  let state = forecaster.start;
  let under = 0;
  let over = 0;
  let sum = 0;
  rates.forEach((rate, step) => {
    state = forecaster.observe(state, rate, STEP_MS);
    const next = rates.slice(step + 1, step + 1 + HORIZON_STEPS);
    if (next.length < HORIZON_STEPS) return;
    const seen = next.reduce((total, each) => total + each, 0) / HORIZON_STEPS;
    const error = seen - forecaster.predict(state, HORIZON_STEPS * STEP_MS);
    under += Math.max(0, error);
    over += Math.max(0, -error);
    sum += seen;
  });
  return {
    missed: under / sum,
    unneeded: over / sum,
    cost: (UNDERESTIMATE_COST * under + over) / sum,
  };
}

/** Baseline that predicts the last observed rate. */
const lastLevel: Forecaster<{ readonly level: number }> = {
  start: { level: 0 },
  observe: (_state, rate) => ({ level: rate }),
  predict: ({ level }) => level,
};

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function compare<State>(forecaster: Forecaster<State>) {
  const scores = SEEDS.map((seed) => score(forecaster, series(seed)));
  const costs = scores.map(({ cost }) => cost);
  return {
    missed: median(scores.map(({ missed }) => missed)),
    unneeded: median(scores.map(({ unneeded }) => unneeded)),
    cost: median(costs),
    costRange: [Math.min(...costs), Math.max(...costs)],
  };
}

/** Compares forecasters on the same demand: the missed and the unneeded forecast as fractions of the demand. */
export function forecastBench(): Promise<object> {
  return Promise.resolve({
    seeds: SEEDS.length,
    underCost: UNDERESTIMATE_COST,
    lastLevel: compare(lastLevel),
    holtLog: compare(holtLog),
    peakHold: compare(peakHold),
    smooth: compare(smooth),
  });
}

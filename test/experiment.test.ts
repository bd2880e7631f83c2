import test from 'ava';
import {
  World,
  fifo,
  leastConnections,
  loadOnDemand,
  reenvio,
  workload,
} from '../bench/experiment/index.js';
import { defaultCurve } from '../standin/index.js';

const DURATION_MS = 60_000;

function run(seed: number, load: number) {
  const asks = workload(reenvio, { seed, load, durationMs: DURATION_MS, curve: defaultCurve });
  const result = new World({
    deployment: reenvio,
    asks,
    durationMs: DURATION_MS,
    seed,
    curve: defaultCurve,
    queue: fifo({ expires: true }),
    route: leastConnections,
    placement: loadOnDemand,
    faults: [
      { atMs: 20_000, type: 'zone-lost', zone: 'oviedo-a' },
      { atMs: 40_000, type: 'zone-back', zone: 'oviedo-a' },
    ],
  }).run();
  return { asks, result };
}

test('every request of a run ends once, also when a zone is lost', (t) => {
  const { asks, result } = run(1, 1.2);
  t.is(result.asked, asks.length);
  t.is(result.answered + result.refused + result.lost, asks.length);
});

test('the same seed gives the same run, another seed another', (t) => {
  const first = { ...run(2, 0.8).result, cpuSeconds: 0 };
  const again = { ...run(2, 0.8).result, cpuSeconds: 0 };
  t.deepEqual(first, again);
  t.not(run(3, 0.8).result.asked, first.asked);
});

test('offered load is what the options say', (t) => {
  const [half, whole] = [0.5, 1].map((load) => run(4, load).asks.length);
  t.true(Math.abs(half! / whole! - 0.5) < 0.1);
});

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
  const requests = workload(reenvio, { seed, load, durationMs: DURATION_MS, curve: defaultCurve });
  const result = new World({
    deployment: reenvio,
    requests,
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
  return { requests, result };
}

test('every request of a run ends exactly once, also when a zone is lost', (t) => {
  const { requests, result } = run(1, 1.2);
  t.is(result.asked, requests.length);
  t.is(result.answered + result.refused + result.lost, requests.length);
});

test('the same seed gives the same run, a different seed a different one', (t) => {
  const first = { ...run(2, 0.8).result, cpuSeconds: 0 };
  const again = { ...run(2, 0.8).result, cpuSeconds: 0 };
  t.deepEqual(first, again);
  t.not(run(3, 0.8).result.asked, first.asked);
});

test('the number of requests is proportional to the configured load', (t) => {
  const [half, whole] = [0.5, 1].map((load) => run(4, load).requests.length);
  t.true(Math.abs(half! / whole! - 0.5) < 0.1);
});

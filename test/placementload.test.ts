import test from 'ava';
import type { Ms } from '../src/base/index.js';
import { PlacementWorld } from './support/placementworld.js';

const RUN_MS = 36_000;
/** Runs of a scenario that differ in the phase and the models of the load. */
const PHASES = [0, 1, 2, 3, 4, 5];
const PHASE_MS = 650;
const MODELS = 16;

type Scenario = ConstructorParameters<typeof PlacementWorld>[0];
type RateOf = Scenario['rateOf'];

/** The two busiest models change every 7 s; engines at the usual pace answer about 137 requests a second. */
function shifting(perSecond: number): (phase: number) => RateOf {
  const unit = perSecond / 71;
  return (phase) => (model, nowMs: Ms) => {
    const busiest = (Math.floor((nowMs + phase * PHASE_MS) / 7000) * 3 + phase) % MODELS;
    if (model === busiest) return 30 * unit;
    return (model === (busiest + 1) % MODELS ? 20 : 1.5) * unit;
  };
}

interface Served {
  readonly share: number;
  /** The share of the model that was served least. */
  readonly least: number;
  readonly rareShare: number;
  /** Mean pace of the engines at which requests were served. */
  readonly pace: number;
  readonly overfills: readonly string[];
}

async function serve(
  load: (phase: number) => RateOf,
  failure: Omit<Scenario, 'rateOf'> = {},
): Promise<Served> {
  const worlds = PHASES.map((phase) => new PlacementWorld({ rateOf: load(phase), ...failure }));
  for (const world of worlds) await world.run(RUN_MS);
  const mean = (of: (world: PlacementWorld) => number) =>
    worlds.reduce((sum, world) => sum + of(world), 0) / worlds.length;
  const leastOf = ({ offered, served }: PlacementWorld) =>
    Math.min(...offered.map((count, at) => (count > 0 ? served[at]! / count : 1)));
  return {
    share: mean((world) => world.servedShare()),
    least: mean(leastOf),
    rareShare: mean((world) => world.servedShare(12, MODELS)),
    pace: mean(({ paceSum, served }) => paceSum / served.reduce((sum, count) => sum + count, 0)),
    overfills: worlds.flatMap((world) => world.overfills),
  };
}

/** Two models with more demand than any engine can serve, at the same models all the time. */
const steady = (phase: number): RateOf => {
  const isBusy = (model: number) => model === phase || model === phase + 5;
  return (model) => (isBusy(model) ? 30 : 1.5);
};

// Guards against a plan that takes all engines for alike and gives the busiest models slow ones.
test('where paces are 0.6, 1 and 1.6, a plan that knows them serves more requests at fast engines', async (t) => {
  const paces = [0.6, 1, 1.6];
  const known = await serve(steady, { paces });
  const blind = await serve(steady, { paces, knowsPaces: false });
  t.log({ known, blind });
  t.deepEqual([...known.overfills, ...blind.overfills], []);
  t.true(known.share > blind.share - 0.01);
  t.true(known.pace < blind.pace);
});

// Guards against demand that is too high for models with many refusals, at the expense of all others.
test('where the busiest models change every 7 s, more is served than without the load-aware demand', async (t) => {
  const aware = await serve(shifting(113));
  const before = await serve(shifting(113), { isLoadAware: false });
  t.log({ aware, before });
  t.deepEqual([...aware.overfills, ...before.overfills], []);
  t.true(aware.share > before.share);
  t.true(aware.least > before.least);
});

// Guards against rare models that stay without replicas while they are asked for four times as much.
test('rare models are served through a burst of four times their load', async (t) => {
  const burst = (phase: number): RateOf => {
    const fromMs = 15_000 + phase * PHASE_MS;
    const isBurst = (nowMs: Ms) => nowMs >= fromMs && nowMs < fromMs + 3000;
    return (model, nowMs) => {
      if (model === 0) return 60;
      return model >= 12 && isBurst(nowMs) ? 8 : 2;
    };
  };
  const served = await serve(burst);
  t.log(served);
  t.deepEqual(served.overfills, []);
  t.true(served.rareShare > 0.95);
});

// Guards against engines that are out of use after each order without an answer.
test('orders carried out late cost less than where the holder waits for them', async (t) => {
  const aware = await serve(shifting(113), { lateOrderOneIn: 4 });
  const before = await serve(shifting(113), { lateOrderOneIn: 4, isLoadAware: false });
  t.log({ aware, before });
  t.deepEqual([...aware.overfills, ...before.overfills], []);
  t.true(aware.share > before.share + 0.03);
});

// Guards against a successor that starts from wrong counts, or counts a move that was decided and not ordered.
test('a holder that dies between deciding and ordering is succeeded, and models are placed again', async (t) => {
  const served = await serve(shifting(71), { holderDiesAtMs: 14_500 });
  t.log(served);
  t.deepEqual(served.overfills, []);
  t.true(served.share > 0.85);
  t.true(served.least > 0.4);
});

// Guards against models that stay without a replica after the engines that had them left.
test('when a third of the engines leaves in a rush, the others take their models', async (t) => {
  const rush = (phase: number): RateOf => {
    const fromMs = 14_000 + phase * PHASE_MS;
    return (model, nowMs) => {
      if (model >= 2) return 1.5;
      return nowMs > fromMs ? 18 : 10;
    };
  };
  const served = await serve(rush, { enginesLeaveAtMs: 15_000 });
  t.log(served);
  t.deepEqual(served.overfills, []);
  t.true(served.share > 0.95);
  t.true(served.least > 0.8);
});

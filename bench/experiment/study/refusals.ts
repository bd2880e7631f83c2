import { defaultCurve } from '../../../standin/index.js';
import type { Deployment } from '../deployment.js';
import { ours } from '../ours.js';
import { spreadOf } from '../spreadof.js';
import { asksOf } from '../trial.js';
import { World } from '../world.js';
import type { Scale } from './scale.js';

const LOADS = [0.8, 1.2, 2];

/** Whether refusals were true in hindsight, and what became of those who came back when told. */
export function refusals(deployment: Deployment, { seeds, durationMs }: Scale) {
  const rows = LOADS.map((load) => {
    const results = seeds.map((seed) => {
      const options = { deployment, seed, load, durationMs };
      const asks = asksOf(options);
      const run = { ...ours, deployment, asks, durationMs, seed, curve: defaultCurve };
      const stayed = new World(run).run();
      const { cameBack } = new World({ ...run, comeBack: true }).run();
      return { stayed, cameBack };
    });
    return {
      load,
      refused: spreadOf(results.map(({ stayed }) => stayed.refused / stayed.asked)),
      enginesReasonTrue: spreadOf(results.map(({ stayed }) => stayed.hindsight.trueShare)),
      plainReasonTrue: spreadOf(results.map(({ stayed }) => stayed.hindsight.plain.trueShare)),
      answeredWhenBack: spreadOf(
        results.map(({ cameBack }) => cameBack.answered / Math.max(1, cameBack.asked)),
      ),
      inTimeWhenBack: spreadOf(
        results.map(({ cameBack }) => cameBack.inTime / Math.max(1, cameBack.asked)),
      ),
    };
  });
  return { deployment: deployment.name, rows };
}

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { agency, reenvio } from './experiment/index.js';
import { page } from './experiment/report/page.js';
import { crowding } from './experiment/study/crowding.js';
import { largest } from './experiment/study/largest.js';
import { overTime } from './experiment/study/overtime.js';
import { refusals } from './experiment/study/refusals.js';
import type { Scale } from './experiment/study/scale.js';
import { sweep } from './experiment/study/sweep.js';

const REPORTS = join(import.meta.dirname, '..', '..', 'docs', 'reports');

const FULL: Scale = {
  seeds: [1, 2, 3, 4, 5],
  durationMs: 120_000,
  loads: [0.3, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2],
};

const QUICK: Scale = { seeds: [1, 2], durationMs: 60_000, loads: [0.5, 1.2] };

/** Studies by name. Each runs for both deployments. */
const STUDIES = { sweep, overTime, crowding, largest, refusals };

type StudyName = keyof typeof STUDIES;

/** Runs one study for both deployments. */
function forBoth<Result>(
  study: (deployment: typeof reenvio, scale: Scale) => Result,
  scale: Scale,
) {
  return [study(reenvio, scale), study(agency, scale)];
}

/** Writes the results as JSON, and a page with charts. */
function report(
  results: { readonly command: string; readonly sweep: ReturnType<typeof sweep>[] },
  times: readonly ReturnType<typeof overTime>[],
): void {
  mkdirSync(REPORTS, { recursive: true });
  writeFileSync(join(REPORTS, 'policy.json'), `${JSON.stringify(results, null, 1)}\n`);
  writeFileSync(join(REPORTS, 'policy.html'), page(results.sweep, times, results.command));
}

/**
 * `npm run bench -- policy [--quick] [STUDY...]`: queues, shares and refusals under load, compared with the
 * baselines (placement and routes: `placement-study`). A full run writes docs/reports/policy.json and policy.html.
 */
export async function policy(args: readonly string[]): Promise<object> {
  const quick = args.includes('--quick');
  const scale = quick ? QUICK : FULL;
  const named = args.filter((arg): arg is StudyName => arg in STUDIES);
  if (named.length > 0) {
    return Object.fromEntries(named.map((name) => [name, forBoth<object>(STUDIES[name], scale)]));
  }
  const results = {
    command: `npm run bench -- policy${quick ? ' --quick' : ''}`,
    scale,
    sweep: forBoth(sweep, scale),
    crowding: forBoth(crowding, scale),
    largest: forBoth(largest, scale),
    refusals: forBoth(refusals, scale),
  };
  if (!quick) report(results, forBoth(overTime, scale));
  return Promise.resolve(results);
}

import type { overTime } from '../study/overtime.js';
import type { sweep } from '../study/sweep.js';
import { chart } from './chart.js';

type Sweep = ReturnType<typeof sweep>;
type OverTime = ReturnType<typeof overTime>;

function sweepCharts({ deployment, levels }: Sweep): string {
  const names = levels[0]?.rows.map(({ name }) => name) ?? [];
  const lines = (pick: (row: Sweep['levels'][number]['rows'][number]) => number) =>
    names.map((name) => ({
      name,
      points: levels.map(({ load, rows }) => {
        const row = rows.find((other) => other.name === name)!;
        return [load, pick(row)] as const;
      }),
    }));
  return [
    chart(
      `${deployment}: attainment per accelerator and minute, against offered load`,
      lines((row) => row.attainmentPerAcceleratorMinute.median),
    ),
    chart(
      `${deployment}: fraction of urgent requests in time, against offered load`,
      lines((row) => row.urgentInTime.median),
    ),
  ].join('\n');
}

function timeCharts({ deployment, load, durationMs, runs }: OverTime): string {
  const over = (values: readonly number[]) =>
    values.map(
      (value, index) => [Math.round((index * durationMs) / values.length / 1000), value] as const,
    );
  const title = `${deployment} at load ${load}`;
  const waits = ['urgent', 'normal', 'background'].map((priority) =>
    chart(
      `${title}: 95th percentile of ${priority} waits (ms) over time (s), started requests only`,
      runs.map(({ name, waits: all }) => ({
        name,
        points: all
          .filter((point) => point.priority === priority)
          .sort((a, b) => a.atMs - b.atMs)
          .map(({ atMs, p95Ms }) => [Math.round(atMs / 1000), p95Ms] as const),
      })),
    ),
  );
  return [
    chart(
      `${title}: attained weight over time (s)`,
      runs.map(({ name, attainedOverTime }) => ({ name, points: over(attainedOverTime) })),
    ),
    chart(
      `${title}: moves over time (s)`,
      runs.map(({ name, movesOverTime }) => ({ name, points: over(movesOverTime) })),
    ),
    ...waits,
  ].join('\n');
}

/** Returns an HTML page with the charts of the studies. */
export function page(
  sweeps: readonly Sweep[],
  times: readonly OverTime[],
  command: string,
): string {
  return [
    '<!doctype html><meta charset="utf-8"><title>Policies under load</title>',
    '<style>body{font-family:sans-serif;max-width:1200px;margin:2em auto}',
    'main{display:grid;grid-template-columns:1fr 1fr;gap:1em}figure{margin:0}</style>',
    `<h1>Policies under load</h1><p>From <code>${command}</code>. Medians over the seeds; the figures`,
    'are in policy.json beside this page, their meaning in docs/POLICY-QUEUES.md.</p><main>',
    ...sweeps.map(sweepCharts),
    ...times.map(timeCharts),
    '</main>',
    '',
  ].join('\n');
}

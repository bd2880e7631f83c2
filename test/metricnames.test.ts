import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';

const ROOT = join(import.meta.dirname, '..', '..');
const USE = /metrics\??\s*\.(?:count|gauge|histogram)\(\s*['`]([^'`]+)['`]/g;

/** Returns the metric names in code, prefixed with the process if only one process can send them. */
function namesInCode(): ReadonlySet<string> {
  const names = new Set<string>();
  for (const root of ['src', 'platform']) {
    for (const file of readdirSync(join(ROOT, root), { recursive: true, encoding: 'utf8' })) {
      if (!file.endsWith('.ts')) continue;
      const [folder = ''] = file.split('/');
      const prefix = folder === 'entry' || folder === 'sidecar' ? `${folder}.` : '';
      const text = readFileSync(join(ROOT, root, file), 'utf8');
      for (const [, name = ''] of text.matchAll(USE)) names.add(prefix + name);
    }
  }
  return names;
}

/** Returns the names in the first column of the table in docs/METRICS.md. */
function namesInPage(): ReadonlySet<string> {
  const page = readFileSync(join(ROOT, 'docs', 'METRICS.md'), 'utf8');
  const cells = page.split('\n').map((line) => /^\| (`[^|]+) \|/.exec(line)?.[1] ?? '');
  return new Set(
    cells.flatMap((cell) => [...cell.matchAll(/`([^`]+)`/g)].map(([, name]) => name!)),
  );
}

test('docs/METRICS.md lists each metric that the code sends, and no other', (t) => {
  t.deepEqual([...namesInPage()].sort(), [...namesInCode()].sort());
});

test('each metric has a kind and a unit', (t) => {
  const page = readFileSync(join(ROOT, 'docs', 'METRICS.md'), 'utf8');
  const rows = page.split('\n').filter((line) => line.startsWith('| `'));
  t.true(rows.length > 0);
  for (const row of rows) t.regex(row, /^\| [^|]+ \| (counter|gauge|histogram) \| [^|\s][^|]* \|/);
});

import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';

function judge(
  tap: string,
  known: string,
  runnerExit = '0',
): { status: number | null; stdout: string } {
  const folder = mkdtempSync(join(tmpdir(), 'judge-'));
  const file = join(folder, 'KNOWN-RED.txt');
  writeFileSync(file, known);
  const run = spawnSync(process.execPath, ['scripts/judge.js', file, runnerExit], {
    input: tap,
    encoding: 'utf8',
  });
  rmSync(folder, { recursive: true });
  return run;
}

const TAP = 'TAP version 13\nok 1 - a › passes\nnot ok 2 - a › fails\n';

test('a failing test that is listed as known is printed and does not fail the run', (t) => {
  const { status, stdout } = judge(TAP, 'a › fails | its cause | issue 10\n');
  t.is(status, 0);
  t.regex(stdout, /known red: a › fails \| its cause/);
  t.regex(stdout, /^1 passed, 0 failed$/m);
});

test('a run fails if an unlisted test fails, or a listed test passes or is missing', (t) => {
  t.is(judge(TAP, '').status, 1);
  t.is(judge(TAP, 'a › fails | c | 1\na › passes | c | 1\n').status, 1);
  t.is(judge(TAP, 'a › fails | c | 1\nb › gone | c | 1\n').status, 1);
});

test('a run without tests, with a failed runner, or with a skipped test fails', (t) => {
  t.is(judge('TAP version 13\n', '').status, 1);
  t.is(judge('ok 1 - a › passes\n', '', '1').status, 1);
  t.is(judge('ok 1 - a › left out # SKIP\nok 2 - b › good\n', '').status, 1);
});

// Guards against a CI run whose only trace is the name of the test that failed.
test('what a failing test reported is printed, unless it is listed as known', (t) => {
  const tap = `${TAP}  ---\n    message: 3 of 4\n  ...\nok 3 - a › passes too\n`;
  t.regex(judge(tap, '').stdout, /^not ok - a › fails\n {2}---\n {4}message: 3 of 4$/m);
  t.notRegex(judge(tap, 'a › fails | c | 1\n').stdout, /3 of 4/);
});

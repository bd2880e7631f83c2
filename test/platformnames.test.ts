import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';

/** Names of the platform's interface, except those that the product's own interface uses too. */
const NAMES =
  /tarragonstile-(not-executed|expect-instance|expect-version|token-usage|prompt-prefix|server-load|response-signature|weight-versions|request-priority|pin-ms|hold|kv-backup)|kv-(txn|range|watch|keep|key|from|fetch|move)|fencing_token|path_prefix|max_attempts|current_rev|at_hand|weights_mb|adapter_slots/i;

function sources(folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => join(folder, file));
}

function lineCount(files: readonly string[]): number {
  return files.reduce((sum, file) => sum + readFileSync(file, 'utf8').split('\n').length, 0);
}

test("no file in src/ uses a name of the platform's interface", (t) => {
  for (const file of sources('src')) t.notRegex(readFileSync(file, 'utf8'), NAMES, file);
});

test('platform/ has fewer than a tenth of the lines of src/', (t) => {
  t.true(lineCount(sources('platform')) * 10 < lineCount(sources('src')));
});

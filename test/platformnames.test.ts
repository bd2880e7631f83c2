import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';

/** Names that only the prepared platform has; those that the product's own interface shares are left out. */
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

test('nothing outside platform/ knows the names of the prepared platform', (t) => {
  for (const file of sources('src')) t.notRegex(readFileSync(file, 'utf8'), NAMES, file);
});

test('platform/ stays under a tenth of src/', (t) => {
  t.true(lineCount(sources('platform')) * 10 < lineCount(sources('src')));
});

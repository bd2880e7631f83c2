import { cpSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { FailureError } from '../src/base/index.js';
import type { check } from './once/check.js';
import { mutations } from './once/mutations.js';

const DIST = join(import.meta.dirname, '..');
const MUTANTS = join(DIST, 'mutants');
const INTERLEAVINGS = 30_000;
const SEED = 20_261_202;

/** Copies the compiled code, turns one guard off, and returns the copy's folder. */
function mutate(index: number, { file, find, replace, guard }: (typeof mutations)[number]): string {
  const folder = join(MUTANTS, String(index));
  for (const part of ['src', 'bench']) {
    cpSync(join(DIST, part), join(folder, part), { recursive: true });
  }
  const path = join(folder, 'src', 'core', file);
  const code = readFileSync(path, 'utf8');
  if (code.split(find).length !== 2) {
    const detail = `The text to replace for the guard "${guard}" does not occur exactly once.`;
    throw new FailureError({ type: 'mutation-misplaced', detail });
  }
  writeFileSync(
    path,
    code.replace(find, () => replace),
  );
  return folder;
}

/** Turns the guards off one at a time and reports the shortest interleaving found that then violates a promise. */
export async function onceMutations(args: readonly string[]): Promise<object> {
  const [interleavings = INTERLEAVINGS, seed = SEED] = args.map(Number);
  rmSync(MUTANTS, { recursive: true, force: true });
  const results: object[] = [];
  let survivors = 0;
  for (const [index, mutation] of mutations.entries()) {
    const folder = mutate(index, mutation);
    const url = pathToFileURL(join(folder, 'bench', 'once', 'check.js')).href;
    const mutant = (await import(url)) as { check: typeof check };
    const { violation, counterexample } = mutant.check(interleavings, seed);
    if (!violation) survivors += 1;
    results.push({ guard: mutation.guard, violation: violation ?? 'NONE', counterexample });
  }
  rmSync(MUTANTS, { recursive: true, force: true });
  return { mutations: results.length, survivors, interleavings, seed, results };
}

import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Ms, Step } from '../../src/base/index.js';

const ROOT = join(import.meta.dirname, '..', '..', '..', 'test', 'golden');

/** One event of a golden session, at a time of the virtual clock. */
export interface Happening<Event> {
  readonly atMs: Ms;
  readonly event: Event;
}

/**
 * Drives a core through a whole session and compares the effects with test/golden/NAME.jsonl: one line
 * an event, `{ atMs, event, effects }`. `npm run golden` writes the files anew; read the difference.
 */
export function session<State, Event, Effect>(
  t: ExecutionContext,
  name: string,
  step: Step<State, Event, Effect>,
  start: State,
  happenings: readonly Happening<Event>[],
): State {
  let state = start;
  let lines = '';
  for (const { atMs, event } of happenings) {
    const change = step(state, event, atMs);
    state = change.state;
    lines += `${JSON.stringify({ atMs, event, effects: change.effects })}\n`;
  }
  const file = join(ROOT, `${name}.jsonl`);
  if (process.env.UPDATE_GOLDEN) writeFileSync(file, lines);
  t.true(existsSync(file), `${file} is missing: run npm run golden`);
  t.is(lines, readFileSync(file, 'utf8'));
  return state;
}

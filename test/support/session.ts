import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import type { Ms, Step } from '../../src/base/index.js';

const ROOT = join(import.meta.dirname, '..', '..', '..', 'test', 'golden');

/** An event of a golden session, at a time of the virtual clock. */
export interface TimedEvent<Event> {
  readonly atMs: Ms;
  readonly event: Event;
}

/**
 * Applies a session of events to a core and compares the effects with test/golden/NAME.jsonl, which has one line
 * `{ atMs, event, effects }` per event. `npm run golden` rewrites the files; review the diff before committing it.
 */
export function session<State, Event, Effect>(
  t: ExecutionContext,
  name: string,
  step: Step<State, Event, Effect>,
  start: State,
  timedEvents: readonly TimedEvent<Event>[],
): State {
  let state = start;
  let lines = '';
  for (const { atMs, event } of timedEvents) {
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

import type { Track } from './track.js';

/** Acts after everything before it at the same upstream is done: what it finds stays true meanwhile. */
export function inTurn<Value>(track: Track, act: () => Promise<Value>): Promise<Value> {
  const done = track.turn.then(act);
  Object.assign(track, { turn: done.catch(() => undefined) });
  return done;
}

import type { Transition, Step } from '../../base/index.js';
import type { Frame } from '../../wire/index.js';
import type { FrameEffect } from './frameeffect.js';
import type { Sequence } from './sequence.js';

type Body = NonNullable<Frame['body']>;

// Shared constants: this code runs for every token, so it avoids allocations.
const PASS: readonly FrameEffect[] = [{ type: 'pass' }];
const CROSSED: readonly FrameEffect[] = [{ type: 'drop', reason: 'crossed' }];
const LATE: readonly FrameEffect[] = [{ type: 'drop', reason: 'late' }];
const DOUBLED: readonly FrameEffect[] = [{ type: 'drop', reason: 'doubled' }];

function gap(state: Sequence, expected: number, found: number): Transition<Sequence, FrameEffect> {
  return { state: { ...state, phase: 'ended' }, effects: [{ type: 'gap', expected, found }] };
}

function pass(
  state: Sequence,
  phase: Sequence['phase'],
  dataCount: number,
): Transition<Sequence, FrameEffect> {
  const { requestId, attempt, next } = state;
  return { state: { requestId, attempt, next: next + 1, dataCount, phase }, effects: PASS };
}

/** Handlers of the frame types for a frame in sequence; other types are dropped. */
const ACCEPT: Readonly<
  Partial<Record<Body['$case'], (state: Sequence, body: Body) => Transition<Sequence, FrameEffect>>>
> = {
  start: (state) => pass(state, 'answering', state.dataCount),
  refusal: (state) => pass(state, 'ended', state.dataCount),
  data: (state) => {
    if (state.phase === 'waiting') return gap(state, 0, state.next);
    return pass(state, 'answering', state.dataCount + 1);
  },
  end: (state, body) => {
    const found = body.$case === 'end' ? body.value.dataCount : 0;
    if (found !== state.dataCount) return gap(state, found, state.dataCount);
    return pass(state, 'ended', state.dataCount);
  },
};

/** Decides on one frame, independent of time. */
export const stepSequence: Step<Sequence, Frame, FrameEffect> = (state, frame) => {
  if (frame.requestId !== state.requestId || frame.attempt > state.attempt) {
    return { state, effects: CROSSED };
  }
  if (frame.attempt < state.attempt || state.phase === 'ended') return { state, effects: LATE };
  if (frame.sequence < state.next) return { state, effects: DOUBLED };
  if (frame.sequence > state.next) return gap(state, state.next, frame.sequence);
  const accept = frame.body && ACCEPT[frame.body.$case];
  if (!frame.body || !accept) return { state, effects: CROSSED };
  return accept(state, frame.body);
};

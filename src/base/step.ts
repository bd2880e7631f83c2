import type { Change } from './change.js';
import type { Ms } from './ms.js';

/** A decision core: a pure function. The same state, event and time always give the same change. */
export type Step<State, Event, Effect> = (
  state: State,
  event: Event,
  nowMs: Ms,
) => Change<State, Effect>;

import type { Transition } from './transition.js';
import type { Ms } from './ms.js';

/** A decision core: a pure function from state, event and time to the next state and the effects. */
export type Step<State, Event, Effect> = (
  state: State,
  event: Event,
  nowMs: Ms,
) => Transition<State, Effect>;

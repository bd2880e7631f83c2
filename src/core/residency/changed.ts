import type { Transition } from '../../base/index.js';
import type { ResidencyEffect } from './residencyeffect.js';
import type { ResidencyState } from './residencystate.js';

/** The result of a residency step: the new state and its effects. */
export type Changed = Transition<ResidencyState, ResidencyEffect>;

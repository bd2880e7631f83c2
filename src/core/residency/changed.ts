import type { Change } from '../../base/index.js';
import type { ResidencyEffect } from './residencyeffect.js';
import type { ResidencyState } from './residencystate.js';

/** A new state of an upstream's memory, and the effects that go with it. */
export type Changed = Change<ResidencyState, ResidencyEffect>;

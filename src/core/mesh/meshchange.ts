import type { Transition } from '../../base/index.js';
import type { MeshEffect } from './mesheffect.js';
import type { MeshState } from './meshstate.js';

/** The next state, and the effects that the shell executes. */
export type MeshChange = Transition<MeshState, MeshEffect>;

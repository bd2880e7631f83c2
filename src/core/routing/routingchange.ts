import type { Transition } from '../../base/index.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';

/** New routing state and effects of one event. */
export type RoutingChange = Transition<RoutingState, RoutingEffect>;

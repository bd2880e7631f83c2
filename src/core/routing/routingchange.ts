import type { Change } from '../../base/index.js';
import type { RoutingEffect } from './routingeffect.js';
import type { RoutingState } from './routingstate.js';

/** What one event does to routing. */
export type RoutingChange = Change<RoutingState, RoutingEffect>;

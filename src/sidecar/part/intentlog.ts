import type { Intent } from '../../core/fence/index.js';
import type { FenceListener } from './fencelistener.js';

/** The intents of orders to this upstream, recorded in the store before an order is sent. */
export interface IntentLog {
  /** Sets the intents that the store should hold from now on. */
  setIntents(intents: readonly Intent[]): void;
  /** Registers a listener for the events of `FenceListener`. */
  listen(listener: FenceListener): void;
}

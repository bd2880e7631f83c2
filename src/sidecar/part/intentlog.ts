import type { Intent } from '../../core/fence/index.js';
import type { FenceListener } from './fencelistener.js';

/** The intents of orders that the store holds for this upstream. */
export interface IntentLog {
  /** Says which intents the store should hold from now on. */
  want(intents: readonly Intent[]): void;
  /** Tells when the incarnation is taken or lost, and when intents are recorded. */
  listen(listener: FenceListener): void;
}

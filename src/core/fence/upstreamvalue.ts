import type { Incarnation } from '../../base/index.js';
import type { Intent } from './intent.js';

/** What the store holds for one upstream, under `/tarragonstile/upstreams/{upstream}`. */
export interface UpstreamValue {
  readonly incarnation: Incarnation;
  /** Random name of the process that took the incarnation: tells our own lost write from another's. */
  readonly owner: string;
  /** Orders that may have left and whose end is not known. */
  readonly intents: readonly Intent[];
}

import type { Incarnation } from '../../base/index.js';
import type { Intent } from './intent.js';

/** Value stored for one upstream under `/tarragonstile/upstreams/{upstream}`. */
export interface UpstreamValue {
  readonly incarnation: Incarnation;
  /** Random name of the process that took the incarnation; distinguishes our own write from another's. */
  readonly owner: string;
  /** Orders that may have been sent and whose outcome is not known. */
  readonly intents: readonly Intent[];
}

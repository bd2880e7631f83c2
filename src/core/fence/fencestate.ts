import type { Incarnation, Ms, Revision } from '../../base/index.js';
import type { FencePhase } from './fencephase.js';
import type { Intent } from './intent.js';
import type { UpstreamValue } from './upstreamvalue.js';

/** One sidecar's hold on its upstream's key. */
export interface FenceState {
  readonly phase: FencePhase;
  /** Random name of this process. */
  readonly owner: string;
  /** 0 until taken. */
  readonly incarnation: Incarnation;
  /** Revision of the key at which `recorded` was seen; 0 when the key does not exist. */
  readonly revision: Revision;
  /** Intents that the store is known to hold. */
  readonly recorded: readonly Intent[];
  /** Intents that the store should hold. */
  readonly wanted: readonly Intent[];
  /** The call to the store that is under way: one at a time. */
  readonly call: 'none' | 'read' | 'swap';
  /** When the last call was sent. */
  readonly calledAtMs: Ms;
  /** What the last swap writes, or wrote. */
  readonly writing: UpstreamValue | undefined;
  /** True after a failed call: the key is read before anything is written. */
  readonly failing: boolean;
  readonly retryAtMs: Ms;
  readonly failures: number;
}

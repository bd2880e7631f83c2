import type { Incarnation, Ms, Revision } from '../../base/index.js';
import type { FencePhase } from './fencephase.js';
import type { Intent } from './intent.js';
import type { UpstreamValue } from './upstreamvalue.js';

/** State of a sidecar's ownership of its upstream's key. */
export interface FenceState {
  readonly phase: FencePhase;
  /** Random name of this process. */
  readonly owner: string;
  /** 0 until an incarnation has been taken. */
  readonly incarnation: Incarnation;
  /** Revision of the key at which `recorded` was read; 0 if the key does not exist. */
  readonly revision: Revision;
  /** Intents that the store is known to hold. */
  readonly recorded: readonly Intent[];
  /** Intents that should be in the store. */
  readonly wanted: readonly Intent[];
  /** The store call in flight; there is at most one. */
  readonly call: 'none' | 'read' | 'swap';
  /** When the last call was sent. */
  readonly calledAtMs: Ms;
  /** Value of the last swap. */
  readonly writing: UpstreamValue | undefined;
  /** True after a failed call: the key is read before the next write. */
  readonly failing: boolean;
  readonly retryAtMs: Ms;
  readonly failures: number;
}

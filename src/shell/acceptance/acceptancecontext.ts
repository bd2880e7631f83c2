import type { Clock, Step } from '../../base/index.js';
import type {
  AcceptanceEffect,
  AcceptanceEvent,
  AcceptanceState,
} from '../../core/acceptance/index.js';
import type { AuditEntry } from '../../core/audit/index.js';
import type { KeyValueStore } from '../../port/index.js';

type AcceptanceStep = Step<AcceptanceState, AcceptanceEvent, AcceptanceEffect>;

/** Dependencies for executing a change. */
export interface AcceptanceContext {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Receives the audit entries that are dropped from the stored value. */
  readonly log: (entries: readonly AuditEntry[]) => void;
  /** Replacement for the core, for checkers that disable one of its guards. */
  readonly step?: AcceptanceStep;
}

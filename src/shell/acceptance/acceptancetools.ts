import type { Clock, Step } from '../../base/index.js';
import type {
  AcceptanceEffect,
  AcceptanceEvent,
  AcceptanceState,
} from '../../core/acceptance/index.js';
import type { AuditEntry } from '../../core/audit/index.js';
import type { KeyValueStore } from '../../port/index.js';

type AcceptanceStep = Step<AcceptanceState, AcceptanceEvent, AcceptanceEffect>;

/** What a change is carried out with. */
export interface AcceptanceTools {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Told of the audit entries that the stored value stops keeping. */
  readonly log: (entries: readonly AuditEntry[]) => void;
  /** Another core, for checkers that turn a guard off. */
  readonly step?: AcceptanceStep;
}

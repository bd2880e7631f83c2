import type { AcceptanceContext } from '../../src/shell/acceptance/index.js';
import type { StoreFaults } from '../../standin/index.js';

/** A race between operators who change the document of one service concurrently. */
export interface RaceOptions {
  readonly seed: number;
  readonly operators: number;
  /** Total number of changes over all operators. */
  readonly changes: number;
  readonly faults: StoreFaults;
  /** `memory` (the default): direct calls in virtual time; `gateway`: the etcd driver over HTTP in real time. */
  readonly via?: 'memory' | 'gateway';
  /** Maximum number of audit entries kept in the stored value. */
  readonly auditLimit?: number;
  /** Replaces the acceptance core by one with a guard disabled. */
  readonly step?: AcceptanceContext['step'];
}

import type { Clock } from '../../base/index.js';
import type { Audit, Engine, KeyValueStore, Log, Metrics } from '../../port/index.js';
import type { Board } from '../../shell/board/index.js';
import type { SidecarSettings } from '../sidecarsettings.js';

/** What each part of a sidecar is built from. */
export interface Context {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly audit: Audit;
  readonly board: Board;
  readonly store: KeyValueStore;
  /** Absent before a plain service. */
  readonly engine: Engine | undefined;
}

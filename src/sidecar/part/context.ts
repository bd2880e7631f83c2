import type { Clock } from '../../base/index.js';
import type { Audit, Engine, KeyValueStore, Log, Metrics } from '../../port/index.js';
import type { Board } from '../../shell/board/index.js';
import type { PeerCredentials } from '../../shell/tls/index.js';
import type { SidecarSettings } from '../sidecarsettings.js';
import type { IncarnationHolder } from './incarnationholder.js';
import type { IntentLog } from './intentlog.js';

/** What each part of a sidecar is built from. */
export interface Context {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly audit: Audit;
  readonly board: Board;
  readonly store: KeyValueStore;
  /** Of both ends of calls between the system's processes. */
  readonly credentials: PeerCredentials;
  /** Names this life of the sidecar: tickets and orders carry it. */
  readonly incarnation: IncarnationHolder;
  readonly intents: IntentLog;
  /** Calls `act` when the sidecar stops, after the last answer has gone out. */
  readonly onStop: (act: () => void) => void;
  /** Calls `act`, perhaps more than once, when the host list shows this host as leaving. */
  readonly onLeaving: (act: () => void) => void;
  /** Absent before a plain service. */
  readonly engine: Engine | undefined;
}

import type { Clock } from '../../base/index.js';
import type { Audit, Engine, KeyValueStore, Log, Metrics } from '../../port/index.js';
import type { Board } from '../../shell/board/index.js';
import type { PeerCredentials } from '../../shell/tls/index.js';
import type { SidecarSettings } from '../sidecarsettings.js';
import type { IncarnationHolder } from './incarnationholder.js';
import type { IntentLog } from './intentlog.js';

/** Dependencies that all parts of a sidecar share. */
export interface Context {
  readonly settings: SidecarSettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly audit: Audit;
  readonly board: Board;
  readonly store: KeyValueStore;
  /** Credentials for both ends of calls between the system's processes. */
  readonly credentials: PeerCredentials;
  /** Identifies this run of the sidecar in tickets and orders. */
  readonly incarnation: IncarnationHolder;
  readonly intents: IntentLog;
  /** Registers `act` to run when the sidecar stops, after the last answer was sent. */
  readonly onStop: (act: () => void) => void;
  /** Registers `act` to run when the host list shows this host as leaving; it can run more than once. */
  readonly onLeaving: (act: () => void) => void;
  /** Undefined if the upstream is a plain service. */
  readonly engine: Engine | undefined;
}

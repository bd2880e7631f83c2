import type { Clock } from '../../base/index.js';
import type { Audit, KeyValueStore, Log, Metrics } from '../../port/index.js';
import type { Board } from '../../shell/board/index.js';
import type { EntrySettings } from '../entrysettings.js';
import type { Link } from '../link/index.js';

/** What each component of an entry is built from: settings, ports and the shared board. */
export interface Context {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly audit: Audit;
  readonly board: Board;
  readonly store: KeyValueStore;
  readonly link: Link;
}

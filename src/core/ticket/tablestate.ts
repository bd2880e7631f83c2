import type { Incarnation, UpstreamId } from '../../base/index.js';
import type { Limits } from './limits.js';
import type { Row } from './row.js';

/**
 * The run-once table of one sidecar incarnation, with those of stopped peers that it took over.
 *
 * The maps are changed in place: copying a hundred thousand rows for each request would cost more than
 * the request. So a state is used up by the step that takes it; only the returned one may be used on.
 */
export interface TableState {
  readonly upstream: UpstreamId;
  readonly incarnation: Incarnation;
  readonly limits: Limits;
  readonly rows: Map<string, Row>;
  /** Tickets whose answer's body is held, oldest answer first. */
  readonly bodies: Set<string>;
  /** Tickets by the whole second in which they expire. */
  readonly expiries: Map<number, readonly string[]>;
  /** Seconds before this one have been swept. */
  readonly sweptUntilS: number;
  readonly usedBytes: number;
  /** True once a planned stop has begun: nothing new is issued or run. */
  readonly leaving: boolean;
  /** Tables taken over, as `{upstream}.{incarnation}`, with how often each has been handed on. */
  readonly origins: ReadonlyMap<string, number>;
}

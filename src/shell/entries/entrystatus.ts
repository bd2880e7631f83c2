import type { BoardStatus } from '../board/index.js';

/** Answer of an entry's `GET /statusz`. */
export interface EntryStatus extends Omit<BoardStatus, 'address'> {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** This entry's view of the upstreams of its region. */
  readonly upstreams: readonly {
    readonly service: string;
    readonly upstream: string;
    readonly incarnation: number;
    readonly phase: string;
    /** Configuration revision in force at the sidecar, by its last report. */
    readonly revision: number;
  }[];
}

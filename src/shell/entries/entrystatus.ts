import type { BoardStatus } from '../board/index.js';

/** What an entry's `GET /statusz` tells. */
export interface EntryStatus extends Omit<BoardStatus, 'address'> {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  /** What this entry knows of its region's upstreams. */
  readonly upstreams: readonly {
    readonly service: string;
    readonly upstream: string;
    readonly incarnation: number;
    readonly phase: string;
    /** Configuration revision in force at the sidecar, as it last told. */
    readonly revision: number;
  }[];
}

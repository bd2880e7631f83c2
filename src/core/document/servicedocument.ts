import type { Ms, ServiceId } from '../../base/index.js';
import type { Adapter } from './adapter.js';
import type { Customer } from './customer.js';
import type { Group } from './group.js';
import type { Kind } from './kind.js';
import type { Model } from './model.js';

/** What a team declares about its service: the only thing that operators edit. */
export interface ServiceDocument {
  /** Where an editor finds the schema; of no meaning here. */
  readonly $schema?: string;
  readonly schemaVersion: 1;
  readonly service: ServiceId;
  /** Team that owns the document; only it may change it. */
  readonly owner: string;
  readonly region: string;
  readonly customers: readonly Customer[];
  readonly kinds: readonly Kind[];
  readonly models: readonly Model[];
  readonly adapters: readonly Adapter[];
  readonly groups: readonly Group[];
  readonly weightStore: {
    readonly loadsPerSecond: number;
    readonly parallelLoads: number;
  };
  readonly placement: {
    /** What one move costs, in weighted answers in time. 0 moves freely. */
    readonly movePenalty: number;
    /** Upstreams that may be down while every model still has a place. */
    readonly spareUpstreams: number;
  };
  readonly limits: {
    readonly bodyBytes: number;
    /** Long jobs at once at one upstream. */
    readonly longJobsPerUpstream: number;
    readonly queuePerUpstream: number;
    /** Longest life of a run-at-most-once ticket. */
    readonly ticketValidMs: Ms;
  };
}

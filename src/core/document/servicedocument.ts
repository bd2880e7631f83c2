import type { Ms, ServiceId } from '../../base/index.js';
import type { Adapter } from './adapter.js';
import type { Customer } from './customer.js';
import type { Group } from './group.js';
import type { Kind } from './kind.js';
import type { Model } from './model.js';

/** A team's declaration of its service. Operators edit only this document. */
export interface ServiceDocument {
  /** Location of the schema for editors; otherwise ignored. */
  readonly $schema?: string;
  readonly schemaVersion: 1;
  readonly service: ServiceId;
  /** Team that owns the document; only this team may change it. */
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
    /** Cost of one move, in weighted answers in time; 0 makes moves free. */
    readonly movePenalty: number;
    /** Number of upstreams that may be down while all models still fit. */
    readonly spareUpstreams: number;
  };
  readonly limits: {
    readonly bodyBytes: number;
    /** Maximum number of concurrent long jobs at one upstream. */
    readonly longJobsPerUpstream: number;
    readonly queuePerUpstream: number;
    /** Maximum validity of a ticket. */
    readonly ticketValidMs: Ms;
  };
}

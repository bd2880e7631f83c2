import type { Ms, ServiceId } from '../../base/index.js';
import type { AccessTable } from '../access/index.js';
import type { Route } from './route.js';
import type { ServiceSpec } from './servicespec.js';

/** Bounds on what a caller may send. */
interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: Ms;
  readonly idleTimeoutMs: Ms;
}

/** A whole configuration: one version replaces another as a unit. */
export interface RouteTable {
  readonly version: number;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly limits: CallerLimits;
  /** Absent where the configuration knows no keys: then whoever asks is served. */
  readonly access?: AccessTable;
}

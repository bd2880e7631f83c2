import type { Ms, ServiceId } from '../../base/index.js';
import type { AccessTable } from '../access/index.js';
import type { Route } from './route.js';
import type { ServiceSpec } from './servicespec.js';

/** Limits on the requests of callers. */
interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: Ms;
  readonly idleTimeoutMs: Ms;
}

/** A complete configuration; a new version replaces the previous one as a whole. */
export interface RouteTable {
  readonly version: number;
  /** Routes by host, longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<ServiceId, ServiceSpec>;
  readonly limits: CallerLimits;
  /** Absent if the configuration has no keys: then all callers are served. */
  readonly access?: AccessTable;
}

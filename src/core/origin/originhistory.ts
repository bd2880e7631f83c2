import type { ModelId, Ms, Revision, ServiceId, UpstreamId } from '../../base/index.js';
import type { Route, RouteTable } from '../routetable/index.js';
import type { Upstream } from '../upstreams/index.js';
import type { StreamOrigin } from './streamorigin.js';
import { StreamVersions } from './streamversions.js';
import { VersionHistory } from './versionhistory.js';
import type { VersionRecord } from './versionrecord.js';

/**
 * Besides the time-out of its route: the time for which a stream's caller may take it up elsewhere, and for which an
 * upstream serves on after its record was removed.
 */
const MARGIN_MS = 120_000;
/** Bound of what is kept; the origin of a stream that may last longer is never inferred. */
const MAX_WINDOW_MS = 3_600_000;
/** The list by which an entry infers the origin of a stream is at most this old; see `LIST_FRESH_MS` of `Origins`. */
const SETTLE_MS = 2100;
/** Stands for the version of an upstream that reports none. */
const NO_VERSION = '';

function weightsKey(service: ServiceId, model: ModelId): string {
  return `${service}/${model}`;
}

function routeKey({ host, pathPrefix }: Route): string {
  return `${host}${pathPrefix}`;
}

function weightsOf({ service, models }: Upstream): Map<string, string> {
  const versions = new Map<string, string>();
  for (const [model, { version }] of models) {
    versions.set(weightsKey(service, model), String(version));
  }
  return versions;
}

/** Returns how far back a stream of the route may have begun. */
function windowOf({ timeoutMs }: Route): Ms {
  return timeoutMs + MARGIN_MS;
}

/** The services, software and weights with which streams may have begun lately, as far as an entry knows. */
export class OriginHistory {
  /** Software versions by service. */
  private readonly software = new VersionHistory();

  /** Versions of weights by service and model. */
  private readonly weights = new VersionHistory();

  /** Services of each route, with the time at which they were taken off it; Infinity while they are on it. */
  private readonly services = new Map<string, Map<ServiceId, Ms>>();

  /** The versions at which streams may have begun, as all entries share them. */
  private readonly streamVersions = new StreamVersions(SETTLE_MS);

  /** The services of the routes are known since then. */
  private routesFromMs: Ms = Infinity;

  /** When the whole state was first known. */
  private completedAtMs: Ms = Infinity;

  /** Longest time-out of a resumable route so far. */
  private longestTimeoutMs: Ms = 0;

  private tableVersion: number | undefined;

  /** Revision of the record of versions that is known; 0 without one. */
  get versionsRevision(): Revision {
    return this.streamVersions.recordRevision;
  }

  /** Records what an upstream lists. Returns true if more origins may have become possible. */
  upstream(upstream: Upstream, nowMs: Ms): boolean {
    const { id, service, softwareVersion = NO_VERSION } = upstream;
    const isNewSoftware = this.software.set(id, new Map([[service, softwareVersion]]), nowMs);
    const hasNewWeights = this.weights.set(id, weightsOf(upstream), nowMs);
    return isNewSoftware || hasNewWeights;
  }

  upstreamGone(id: UpstreamId, nowMs: Ms): void {
    this.software.remove(id, nowMs);
    this.weights.remove(id, nowMs);
  }

  table({ routesByHost, version }: RouteTable, nowMs: Ms): void {
    this.tableVersion = version;
    for (const services of this.services.values()) {
      for (const [service, untilMs] of services) {
        if (untilMs === Infinity) services.set(service, nowMs);
      }
    }
    for (const route of [...routesByHost.values()].flat()) {
      if (!route.isResumable) continue;
      this.addRoute(route);
      this.longestTimeoutMs = Math.max(this.longestTimeoutMs, route.timeoutMs);
    }
    this.forgetRoutes(nowMs - MAX_WINDOW_MS);
  }

  /**
   * The whole present state is known from now on. `recordedTable` is the version of the configuration with which entries
   * ran before, if any did.
   */
  complete(recordedTable: number | undefined, hasPredecessor: boolean, nowMs: Ms): void {
    if (this.completedAtMs !== Infinity) return;
    this.completedAtMs = nowMs;
    this.streamVersions.complete(hasPredecessor);
    const isSameTable = recordedTable !== undefined && recordedTable === this.tableVersion;
    this.routesFromMs = isSameTable || !hasPredecessor ? -Infinity : nowMs;
  }

  /** Applies the record of versions; undefined if it is unreadable or absent. Returns true if it is news. */
  versionsStored(record: VersionRecord | undefined, revision: Revision, nowMs: Ms): boolean {
    return this.streamVersions.heard(record, revision, nowMs);
  }

  /**
   * Returns the record of versions that has to be written; undefined if it is up to date. All changes of the list up to
   * `knownAtMs` are known.
   */
  versionsToStore(nowMs: Ms, knownAtMs: Ms): ReturnType<StreamVersions['next']> {
    if (this.completedAtMs === Infinity) return undefined;
    const fromMs = nowMs - Math.min(MAX_WINDOW_MS, this.longestTimeoutMs + MARGIN_MS);
    this.software.forget(fromMs);
    this.weights.forget(fromMs);
    const isCovered = this.completedAtMs <= fromMs;
    const listed = this.software.listedNow() as Map<ServiceId, string[]>;
    const isExpired = (service: ServiceId, version: string) =>
      isCovered && !this.software.since(service, fromMs).includes(version);
    const recent = isCovered
      ? (this.software.allSince(fromMs) as Map<ServiceId, string[]>)
      : undefined;
    return this.streamVersions.next({ listed, knownAtMs, isExpired, recent }, nowMs);
  }

  /** Returns true if a resumable stream may begin at an upstream. */
  mayBegin({ service, softwareVersion = NO_VERSION }: Upstream): boolean {
    return this.streamVersions.mayBegin(service, softwareVersion);
  }

  /**
   * Returns the only origin that a stream of the route may have, as long as no other version is listed either; undefined
   * if there may be several, now or soon.
   */
  onlyOrigin(route: Route, model: ModelId | undefined, nowMs: Ms): StreamOrigin | undefined {
    return this.possibleOrigin(route, model, nowMs, false);
  }

  /**
   * Returns the only origin with which a stream of the route can have begun; undefined if there may be several. No stream
   * begins at a listed version that a complete record lacks.
   */
  onlyOriginBegun(route: Route, model: ModelId | undefined, nowMs: Ms): StreamOrigin | undefined {
    return this.possibleOrigin(route, model, nowMs, this.streamVersions.hasAllVersions);
  }

  private possibleOrigin(
    route: Route,
    model: ModelId | undefined,
    nowMs: Ms,
    mayListOthers: boolean,
  ): StreamOrigin | undefined {
    const fromMs = nowMs - windowOf(route);
    const services: ServiceId[] = [];
    for (const [service, untilMs] of this.services.get(routeKey(route)) ?? []) {
      if (untilMs >= fromMs) services.push(service);
    }
    const [service] = services;
    const isCovered = this.routesFromMs <= fromMs;
    if (service === undefined || services.length > 1 || !isCovered) return undefined;
    const hasOtherWeights =
      model !== undefined && this.weights.since(weightsKey(service, model), fromMs).length > 1;
    return hasOtherWeights ? undefined : this.onlySoftware(service, fromMs, mayListOthers);
  }

  /** Returns the origin of a stream that began at this service since then, if only one software version is possible. */
  protected onlySoftware(
    service: ServiceId,
    fromMs: Ms,
    mayListOthers: boolean,
  ): StreamOrigin | undefined {
    const version = this.streamVersions.only(service);
    const hasOther = !mayListOthers && this.software.since(service, fromMs).length > 1;
    if (version === undefined || hasOther) return undefined;
    const softwareVersion = version === NO_VERSION ? undefined : version;
    return { service, softwareVersion, weightsVersion: undefined };
  }

  private addRoute(route: Route): void {
    const key = routeKey(route);
    const services = this.services.get(key) ?? new Map<ServiceId, Ms>();
    this.services.set(key, services);
    for (const { service } of route.destinations) services.set(service, Infinity);
  }

  private forgetRoutes(beforeMs: Ms): void {
    for (const [key, services] of this.services) {
      for (const [service, untilMs] of services) {
        if (untilMs < beforeMs) services.delete(service);
      }
      if (services.size === 0) this.services.delete(key);
    }
  }
}

import type { ModelId, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import type { Route, RouteTable } from '../routetable/index.js';
import type { Upstream } from '../upstreams/index.js';
import type { RecordedVersions } from './recordedversions.js';
import type { StreamOrigin } from './streamorigin.js';
import { VersionHistory } from './versionhistory.js';

/**
 * Besides the time-out of its route: the time for which a stream's caller may take it up elsewhere, and for which an
 * upstream serves on after its record was removed.
 */
const MARGIN_MS = 120_000;
/** Bound of what is kept; the origin of a stream that may last longer is never inferred. */
const MAX_WINDOW_MS = 3_600_000;
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

  /** Everything since then is known. */
  private coveredFromMs: Ms = Infinity;

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

  table({ routesByHost }: RouteTable, nowMs: Ms): void {
    for (const services of this.services.values()) {
      for (const [service, untilMs] of services) {
        if (untilMs === Infinity) services.set(service, nowMs);
      }
    }
    for (const route of [...routesByHost.values()].flat()) {
      if (route.isResumable) this.addRoute(route);
    }
    this.forgetRoutes(nowMs - MAX_WINDOW_MS);
  }

  /** The whole present state is known from now on; `recorded` is what was known before, if anybody was there. */
  complete(recorded: RecordedVersions | undefined, hasPredecessor: boolean, nowMs: Ms): void {
    if (this.coveredFromMs !== Infinity) return;
    this.coveredFromMs = hasPredecessor ? nowMs - (recorded?.coveredMs ?? 0) : -Infinity;
    for (const [key, versions] of Object.entries(recorded?.mixed ?? {})) {
      for (const version of versions) this.software.adopt(key, version, nowMs);
    }
  }

  /** Returns what entries that start later need to know. */
  recorded(nowMs: Ms): RecordedVersions {
    const fromMs = nowMs - MAX_WINDOW_MS;
    this.weights.forget(fromMs);
    const coveredMs = Math.min(MAX_WINDOW_MS, Math.max(0, nowMs - this.coveredFromMs));
    return { coveredMs, mixed: this.software.mixedSince(fromMs) };
  }

  /** Returns the only origin that a stream of the route may have; undefined if there may be several. */
  onlyOrigin(route: Route, model: ModelId | undefined, nowMs: Ms): StreamOrigin | undefined {
    const fromMs = nowMs - windowOf(route);
    const services: ServiceId[] = [];
    for (const [service, untilMs] of this.services.get(routeKey(route)) ?? []) {
      if (untilMs >= fromMs) services.push(service);
    }
    const [service] = services;
    if (service === undefined || services.length > 1) return undefined;
    const hasOtherWeights =
      model !== undefined && this.weights.since(weightsKey(service, model), fromMs).length > 1;
    return hasOtherWeights ? undefined : this.onlySoftware(route, service, nowMs);
  }

  /** Returns the origin of a stream that began at this service, if one software version alone has served there. */
  onlySoftware(route: Route, service: ServiceId, nowMs: Ms): StreamOrigin | undefined {
    const fromMs = nowMs - windowOf(route);
    const [version, ...others] = this.software.since(service, fromMs);
    const isCovered = this.coveredFromMs <= fromMs && windowOf(route) <= MAX_WINDOW_MS;
    if (!isCovered || version === undefined || others.length > 0) return undefined;
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

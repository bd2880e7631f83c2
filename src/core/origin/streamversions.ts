import type { Ms, Revision, ServiceId } from '../../base/index.js';
import type { VersionRecord } from './versionrecord.js';

type ServiceVersions = Omit<VersionRecord['services'][number], 'service'>;

/** What a process knows of the upstreams' versions by itself. */
interface Listing {
  /** Versions by service that are listed now. */
  readonly listed: ReadonlyMap<ServiceId, readonly string[]>;
  /** All changes of the list up to this time are known. */
  readonly knownAtMs: Ms;
  /** True if no stream can still go on that began at the version. */
  readonly isExpired: (service: ServiceId, version: string) => boolean;
  /** Versions by service that were listed since the oldest stream that may go on; undefined if not known so far back. */
  readonly recent?: ReadonlyMap<ServiceId, readonly string[]> | undefined;
}

/** Stands for all versions of a time of which nothing is known. */
const UNKNOWN_VERSION = '?';
const ABSENT = 0 as Revision;

function isSame(one: ServiceVersions | undefined, other: ServiceVersions): boolean {
  return (
    one?.settledCount === other.settledCount &&
    one.versions.length === other.versions.length &&
    one.versions.every((version, at) => version === other.versions[at])
  );
}

function hasAll(services: VersionRecord['services'], recent: Listing['recent']): boolean {
  if (!recent) return false;
  const recorded = new Map(services.map(({ service, versions }) => [service, versions]));
  return [...recent].every(([service, versions]) =>
    versions.every((version) => recorded.get(service)?.includes(version)),
  );
}

/**
 * The software versions at which resumable streams may begin. A version has to stand in the stored record first, and the
 * second one of a service for as long as the state may be old by which an entry infers that there is one alone. So
 * whoever reads the record knows every version at which a stream can have begun, also after all entries were killed.
 */
export class StreamVersions {
  private services: ReadonlyMap<ServiceId, ServiceVersions> = new Map();

  private revision: Revision = ABSENT;

  /** When the record was first read as it is. */
  private readAtMs: Ms = Infinity;

  /** False while there is no record, or another writer has replaced it. */
  private isReadable = false;

  /** True if the record is known to have every version at which a stream may still go on. */
  private isComplete = false;

  /** True if versions may have been recorded that this process does not know. */
  private isIncomplete = false;

  constructor(
    /** How long a version stands in the record before streams begin at it. */
    private readonly settleMs: Ms,
  ) {}

  /** Revision of the record that is known; 0 without one. */
  get recordRevision(): Revision {
    return this.revision;
  }

  /** Applies what the store holds; `record` is undefined if it is unreadable or absent. Returns false if it is not new. */
  heard(record: VersionRecord | undefined, revision: Revision, nowMs: Ms): boolean {
    const isOld = revision === ABSENT ? !this.isReadable : revision <= this.revision;
    if (isOld) return false;
    this.revision = revision;
    this.isReadable = record !== undefined;
    this.isComplete = record?.isComplete === true;
    if (!record) {
      this.isIncomplete ||= this.readAtMs === Infinity;
      return true;
    }
    this.readAtMs = nowMs;
    this.isIncomplete = false;
    this.services = new Map(
      record.services.map(({ service, versions, settledCount }) => [
        service,
        { versions, settledCount },
      ]),
    );
    return true;
  }

  /** The whole state was read; `hasPredecessor` if entries ran before. */
  complete(hasPredecessor: boolean): void {
    if (this.readAtMs === Infinity && hasPredecessor) this.isIncomplete = true;
  }

  /** Returns true if the record has every version at which a stream may still go on, whoever has written it. */
  get hasAllVersions(): boolean {
    return this.isReadable && this.isComplete;
  }

  /** Returns true if a resumable stream may begin at a version. */
  mayBegin(service: ServiceId, version: string): boolean {
    const known = this.isReadable ? this.services.get(service) : undefined;
    if (!known) return false;
    const at = known.versions.indexOf(version);
    return at >= 0 && at < known.settledCount;
  }

  /** Returns the only version at which a stream can have begun; undefined if there may be several. */
  only(service: ServiceId): string | undefined {
    const versions = this.isReadable ? this.services.get(service)?.versions : undefined;
    return versions?.length === 1 ? versions[0] : undefined;
  }

  /** Returns the record that has to be written, with the revision that it replaces; undefined if it is up to date. */
  next(
    listing: Listing,
    nowMs: Ms,
  ): { readonly record: VersionRecord; readonly expectedRevision: Revision } | undefined {
    let isChanged = !this.isReadable;
    const services: VersionRecord['services'][number][] = [];
    for (const service of new Set([...this.services.keys(), ...listing.listed.keys()])) {
      const before = this.services.get(service);
      const versions = this.nextVersions(service, before, listing, nowMs);
      if (versions.versions.length > 0) services.push({ service, ...versions });
      if (!isSame(before, versions)) isChanged = true;
    }
    const isConfirmed = this.isOlderThan(listing, nowMs) && hasAll(services, listing.recent);
    const isComplete = this.isComplete || this.isFirst() || isConfirmed;
    if (isComplete && !this.isComplete) isChanged = true;
    if (!isChanged) return undefined;
    const record = isComplete ? { services, isComplete } : { services };
    return { record, expectedRevision: this.revision };
  }

  /** Returns true if there was no record before, and no process that may have lost one. */
  private isFirst(): boolean {
    return this.revision === ABSENT && this.readAtMs === Infinity && !this.isIncomplete;
  }

  /** Returns true if the list is up to date and has every server whose version the record can name. */
  private isOlderThan({ knownAtMs }: Listing, nowMs: Ms): boolean {
    return knownAtMs > this.readAtMs && nowMs - knownAtMs <= this.settleMs;
  }

  private nextVersions(
    service: ServiceId,
    before: ServiceVersions | undefined,
    listing: Listing,
    nowMs: Ms,
  ): ServiceVersions {
    const { listed, isExpired } = listing;
    const known = before?.versions ?? (this.isIncomplete ? [UNKNOWN_VERSION] : []);
    const settledBefore = before?.settledCount ?? 0;
    // A list that is older than the record may lack a version that another process has recorded, and at which streams
    // have begun; an old list may lack one that is listed again.
    const mayDrop = this.isOlderThan(listing, nowMs);
    const kept = known.filter((version) => !mayDrop || !isExpired(service, version));
    const added = (listed.get(service) ?? []).filter((version) => !known.includes(version));
    const versions = [...kept, ...added];
    const settled = known.filter((version, at) => at < settledBefore && kept.includes(version));
    // Nobody can infer the only version of a service that is in no record, or that has had two for long enough.
    if (known.length === 0 || settled.length > 1) {
      return { versions, settledCount: versions.length };
    }
    const isOver = before !== undefined && nowMs >= this.readAtMs + this.settleMs;
    return { versions, settledCount: isOver ? kept.length : settled.length };
  }
}

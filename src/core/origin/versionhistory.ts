import type { Ms, UpstreamId } from '../../base/index.js';

/** How many upstreams list a version now, and when the last one that did was gone. */
interface Listing {
  count: number;
  goneAtMs: Ms;
}

/** Versions that upstreams have listed, by key, such as a service or a model. */
export class VersionHistory {
  private readonly listedBy = new Map<UpstreamId, ReadonlyMap<string, string>>();

  private readonly listings = new Map<string, Map<string, Listing>>();

  /** Replaces the versions that an upstream lists. Returns true if it is the only one to list one of them. */
  set(id: UpstreamId, versions: ReadonlyMap<string, string>, nowMs: Ms): boolean {
    const before = this.listedBy.get(id);
    this.listedBy.set(id, versions);
    let isFirst = false;
    for (const [key, version] of versions) {
      const listing = this.listing(key, version);
      if (listing.count === 0) isFirst = true;
      listing.count += 1;
    }
    if (before) this.release(before, nowMs);
    return isFirst;
  }

  remove(id: UpstreamId, nowMs: Ms): void {
    const before = this.listedBy.get(id);
    if (!before) return;
    this.listedBy.delete(id);
    this.release(before, nowMs);
  }

  /** Returns the versions under a key that were listed at this time or later. */
  since(key: string, fromMs: Ms): string[] {
    const versions: string[] = [];
    for (const [version, { count, goneAtMs }] of this.listings.get(key) ?? []) {
      if (count > 0 || goneAtMs >= fromMs) versions.push(version);
    }
    return versions;
  }

  /** Returns the versions that are listed now, by key. */
  listedNow(): Map<string, string[]> {
    return this.allSince(Infinity);
  }

  /** Returns the versions that were listed at this time or later, by key. */
  allSince(fromMs: Ms): Map<string, string[]> {
    const listed = new Map<string, string[]>();
    for (const key of this.listings.keys()) {
      const versions = this.since(key, fromMs);
      if (versions.length > 0) listed.set(key, versions);
    }
    return listed;
  }

  /** Forgets versions that were last listed before this time. */
  forget(beforeMs: Ms): void {
    for (const [key, listings] of this.listings) {
      for (const [version, { count, goneAtMs }] of listings) {
        if (count === 0 && goneAtMs < beforeMs) listings.delete(version);
      }
      if (listings.size === 0) this.listings.delete(key);
    }
  }

  private release(versions: ReadonlyMap<string, string>, nowMs: Ms): void {
    for (const [key, version] of versions) {
      const listing = this.listing(key, version);
      listing.count -= 1;
      listing.goneAtMs = nowMs;
    }
  }

  private listing(key: string, version: string): Listing {
    let listings = this.listings.get(key);
    if (!listings) {
      listings = new Map();
      this.listings.set(key, listings);
    }
    let listing = listings.get(version);
    if (!listing) {
      listing = { count: 0, goneAtMs: -Infinity };
      listings.set(version, listing);
    }
    return listing;
  }
}

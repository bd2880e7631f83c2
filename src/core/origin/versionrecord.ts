import type { ServiceId } from '../../base/index.js';

/** The software versions at which resumable streams may have begun, as stored for every entry that starts. */
export interface VersionRecord {
  readonly services: readonly {
    readonly service: ServiceId;
    /** In the order in which they were recorded. */
    readonly versions: readonly string[];
    /** Streams may begin at this many of the versions; every entry knows of the others before they may. */
    readonly settledCount: number;
  }[];
}

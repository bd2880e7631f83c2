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
  /**
   * True if no version is missing at which a stream may still go on. Entries of earlier releases may drop one that they
   * have not read of; they do not write this.
   */
  readonly isComplete?: boolean;
}

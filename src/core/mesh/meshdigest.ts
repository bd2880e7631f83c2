import type { MeshVersion } from './meshversion.js';

/** Versions that the sender of a pull holds, so that the answer carries only the records it lacks. */
export interface MeshDigest {
  /** Address of the sender's listener. */
  readonly host: string;
  /** Highest document revision that the sender holds. */
  readonly revision: number;
  /** Held versions under the interests; empty if `hash` is compared instead. */
  readonly versions: readonly MeshVersion[];
  /** Key prefixes of the requested records; empty means all. */
  readonly interests: readonly string[];
  /** Hash over the versions of all held documents; 0 means that `versions` are compared instead. */
  readonly hash: number;
}

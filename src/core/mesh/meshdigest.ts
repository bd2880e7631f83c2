import type { MeshVersion } from './meshversion.js';

/** What the caller of a pull holds, so that the answer carries only what it lacks. */
export interface MeshDigest {
  /** Address of the sender's listener. */
  readonly host: string;
  /** Highest document revision that the sender holds. */
  readonly revision: number;
  /** Held versions under the interests; empty when `hash` speaks for them. */
  readonly versions: readonly MeshVersion[];
  /** Key prefixes of the wanted records; empty asks for all. */
  readonly interests: readonly string[];
  /** Hash over all held documents' versions; 0 asks to compare `versions` in its place. */
  readonly hash: number;
}

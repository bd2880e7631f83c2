/** A prefix cache with a limited number of blocks; the one used longest ago goes first. */
export interface PrefixCache {
  /** Hashes of blocks, the one used longest ago first. */
  readonly blocks: ReadonlySet<number>;
  readonly lastSequence: number;
  /** The latest changes, oldest first. */
  readonly events: readonly {
    readonly sequence: number;
    readonly type: 'stored' | 'evicted';
    readonly prefixHash: string;
  }[];
}

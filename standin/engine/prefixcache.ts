/** A prefix cache of limited capacity, which evicts the least recently used block first. */
export interface PrefixCache {
  /** Hashes of blocks, least recently used first. */
  readonly blocks: ReadonlySet<number>;
  readonly lastSequence: number;
  /** The most recent changes, oldest first. */
  readonly events: readonly {
    readonly sequence: number;
    readonly type: 'stored' | 'evicted';
    readonly prefixHash: string;
  }[];
}

/** Prefixes that an engine's cache took or dropped. Late, and with gaps: a hint, never a fact. */
export interface CacheEvents {
  /** Sequence of the last event; a jump from what was asked for shows a gap. */
  readonly lastSequence: number;
  readonly events: readonly {
    readonly sequence: number;
    readonly type: 'stored' | 'evicted';
    readonly prefixHash: string;
  }[];
}

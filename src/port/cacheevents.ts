/** Prompt prefixes that an engine's cache stored or evicted. A hint only: events arrive late and can be lost. */
export interface CacheEvents {
  /** Sequence number of the last event. If it does not follow from the requested number, events are missing. */
  readonly lastSequence: number;
  readonly events: readonly {
    readonly sequence: number;
    readonly type: 'stored' | 'evicted';
    readonly prefixHash: string;
  }[];
}

/** State of a process's copy of the board, as shown to operators. */
export interface BoardStatus {
  readonly address: string;
  /** Highest configuration revision in force at this process. */
  readonly revision: number;
  readonly documents: readonly { readonly service: string; readonly revision: number }[];
  /**
   * `current` once this process has caught up with its peers; `uncertain` if the time limit for that passed first:
   * it then serves from the records that it has.
   */
  readonly phase: 'joining' | 'catchingUp' | 'current' | 'uncertain';
  /** True if this process watches the store on behalf of its peers. */
  readonly relay: boolean;
  readonly store: 'closed' | 'listing' | 'watching' | 'waiting';
  /** Number of entries of this region on the host list. */
  readonly entryCount: number;
  /** Addresses of peers whose last calls failed. */
  readonly suspects: readonly string[];
  readonly recordCount: number;
}

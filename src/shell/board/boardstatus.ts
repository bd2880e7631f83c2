/** How far a process's copy of the board is, for operators. */
export interface BoardStatus {
  readonly address: string;
  /** Highest configuration revision in force here. */
  readonly revision: number;
  readonly documents: readonly { readonly service: string; readonly revision: number }[];
  /**
   * `current` once this process has caught up with its peers; `uncertain` when its bounded wait passed
   * first, so that it serves from what it has.
   */
  readonly phase: 'joining' | 'catchingUp' | 'current' | 'uncertain';
  /** Whether this process holds a watch on the store, and how that goes. */
  readonly relay: boolean;
  readonly store: 'closed' | 'listing' | 'watching' | 'waiting';
  /** Entries on the host list of this region. */
  readonly entryCount: number;
  /** Peers that did not answer lately. */
  readonly suspects: readonly string[];
  readonly recordCount: number;
}

/** How much of another entry's suspect table an entry has received. */
export interface SuspectCursor {
  /** Identifies the other entry's table; a restart begins a new one. */
  readonly book: string;
  /** Number of the last change that was received. */
  readonly index: number;
}

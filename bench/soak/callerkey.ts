/** The key that a call came with, and whose it is. */
export interface CallerKey {
  /** Absent where none is sent. */
  readonly key: string | undefined;
  /** The customer that holds it; undefined for a key that nobody ever had. */
  readonly customer: string | undefined;
  /** For a changing key: the version that it came with. */
  readonly version: number | undefined;
}

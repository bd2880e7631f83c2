/** One block of differing lines of two texts. */
export interface Hunk {
  /** Index of the block's first line in the first text, from 0. */
  readonly at: number;
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

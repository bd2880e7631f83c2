/** One place where two texts differ, by lines. */
export interface Hunk {
  /** Lines of the first text before this place, from 0. */
  readonly at: number;
  readonly removed: readonly string[];
  readonly added: readonly string[];
}

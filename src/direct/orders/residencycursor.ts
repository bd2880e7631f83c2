/**
 * The position up to which an entry knows residency changes: the order lease's epoch and the number of the last change.
 */
export interface ResidencyCursor {
  readonly epoch: number;
  readonly index: number;
}

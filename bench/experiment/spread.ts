/** Median and range of what the seeds gave. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly most: number;
}

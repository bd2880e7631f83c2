/** Median and range over the seeds. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly most: number;
}

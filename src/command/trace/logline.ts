/** One structured line of a log, as far as it can be read. */
export interface LogLine {
  readonly message: string;
  /** Time of day in ms. */
  readonly atMs: number;
  /** What stood before the JSON object, such as the host's name. */
  readonly from: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

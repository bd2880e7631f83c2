/** One structured log line. */
export interface LogLine {
  readonly message: string;
  /** Unix time in ms; 0 if the line has no timestamp. */
  readonly atMs: number;
  /** Text before the JSON object, such as the host name. */
  readonly from: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** PEM files of a process's certificate and key, and of the authorities that it trusts. */
export interface KeySettings {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** Certificates of the trusted authorities. */
  readonly caFile?: string | null;
  /** Interval of the check for changed files. */
  readonly reloadMs: number;
}

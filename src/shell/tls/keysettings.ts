/** Files of a process's own certificate and key, in PEM, and of those that it trusts. */
export interface KeySettings {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** Certificates of the authorities whose clients (or servers) are trusted. */
  readonly caFile?: string | null;
  /** How often the files are looked at for a change. */
  readonly reloadMs: number;
}

/** Settings for reading the platform's host list. */
export interface HostListSettings {
  /** Answers GET with a JSON array of hosts; its query may filter by region. */
  readonly url: string;
  readonly pollMs: number;
  readonly timeoutMs: number;
}

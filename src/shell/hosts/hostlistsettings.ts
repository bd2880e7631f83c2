/** Where the platform's list of hosts is. */
export interface HostListSettings {
  /** Answers GET with a JSON array of hosts; may carry a filter for the region. */
  readonly url: string;
  readonly pollMs: number;
  readonly timeoutMs: number;
}

/** Where the platform's key-value service is, and how much of its rate this process may use. */
export interface StoreSettings {
  /** Base URLs of the service; the next is tried when one cannot be reached. */
  readonly urls: string[];
  /** Reads, and opened watches, that this process may send in a second. */
  readonly readsPerSecond: number;
  /** Writes that this process may send in a second. */
  readonly writesPerSecond: number;
  /** Longest wait for one answer. */
  readonly timeoutMs: number;
}

/** Address of the platform's key-value store, and the rate limits of this process. */
export interface StoreSettings {
  /** Base URLs of the store; the next one is used when one cannot be reached. */
  readonly urls: string[];
  /** Reads and watch starts that this process may send per second. */
  readonly readsPerSecond: number;
  /** Writes that this process may send per second. */
  readonly writesPerSecond: number;
  /** Timeout of one call. */
  readonly timeoutMs: number;
}

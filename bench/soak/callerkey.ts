/** The key that a caller sent, and the customer that it belongs to. */
export interface CallerKey {
  /** Undefined if no key is sent. */
  readonly key: string | undefined;
  /** The customer that the key belongs to; undefined for a key that was never configured. */
  readonly customer: string | undefined;
  /** For a rotating key: the configuration version that introduced it. */
  readonly version: number | undefined;
}

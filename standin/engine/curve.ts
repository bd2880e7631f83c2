/**
 * How long the stand-in engine takes. Used by the stand-in on loopback and by experiments in virtual
 * time alike, so that both speak of the same hardware.
 */
export interface Curve {
  /** Time that one prompt token takes when it is not in the prefix cache. */
  readonly prefillTokenMs: number;
  /** Time of one decoding step with a single running request. */
  readonly stepMs: number;
  /** What each further running request adds to a step. */
  readonly stepMsPerRequest: number;
  /** Weights that arrive in one ms when the weight store is not crowded. */
  readonly loadBytesPerMs: number;
}

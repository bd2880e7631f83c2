/**
 * Latency model of the stand-in engine. The stand-in on loopback and the simulations in virtual time share it,
 * so that both describe the same hardware.
 */
export interface Curve {
  /** Prefill time of one prompt token that is not in the prefix cache. */
  readonly prefillTokenMs: number;
  /** Duration of a decoding step with a single running request. */
  readonly stepMs: number;
  /** Added duration of a step for each further running request. */
  readonly stepMsPerRequest: number;
  /** Bytes of weights loaded per ms while the weight store is below its parallel limit. */
  readonly loadBytesPerMs: number;
}

/** Constants of the forecast and of the choice by it. */
export const upstreamForecastRules = {
  /**
   * Factor by which the most urgent requests and returning callers may exceed the slots of an engine. A stream beyond
   * the slots preempts another one, whose caller sees a pause; an eighth limits this to one stream in nine.
   */
  urgentFactor: 1.125,
  /**
   * Below this number of free slots an upstream counts as full. Request counts of other entries decay between two
   * reports, so a load is rarely a whole number; it is rounded to the nearest one.
   */
  minFree: 0.5,
  /** Weight of an upstream in the own availability zone compared with one of the same load in another zone. */
  ownZoneFactor: 2,
  /**
   * Duration of a request as long as none was measured, in ms, as for streams. It only orders upstreams without a free
   * slot: with 24 to 32 slots, each request beyond them counts as a third of the longest allowed pause of 200 ms.
   */
  unknownServiceMs: 2000,
} as const;

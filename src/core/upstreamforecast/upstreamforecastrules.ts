/** Constants of the forecast and of the choice by it. */
export const upstreamForecastRules = {
  /**
   * Factor by which the most urgent requests and returning callers may exceed what an engine takes otherwise: engines
   * run more urgent requests first, so that these do not wait for the slots.
   */
  urgentFactor: 1.25,
  /**
   * Part of its target latency that a request may wait inside an engine for a slot. The rest covers its prompt, the way
   * to the caller, and requests of other entries that are not known yet.
   */
  slotWaitShare: 0.25,
  /** An engine gets at most this fraction of its slots beyond them: what waits inside an engine cannot be reordered. */
  maxBeyond: 0.15,
  /**
   * Least fraction of its slots that an engine is given after long gaps. Bursts of prompts and preemption cause such
   * gaps, and fewer streams hardly shorten them: an event of eight tokens takes 50 ms with all slots in use.
   */
  minFill: 0.8,
  /**
   * Below this number of free slots an upstream counts as full. Request counts of other entries decay between two
   * reports, so a load is rarely a whole number; it is rounded to the nearest one.
   */
  minFree: 0.5,
  /** Weight of an upstream in the own availability zone compared with one of the same load in another zone. */
  ownZoneFactor: 2,
  /**
   * Duration of a request as long as none was measured, in ms, as for streams. It orders upstreams without a free slot
   * and bounds how many requests wait inside an engine: with 24 to 32 slots, each request beyond them counts as a third of the longest allowed pause of 200 ms.
   */
  unknownServiceMs: 2000,
} as const;

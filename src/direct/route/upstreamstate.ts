import type { Ms } from '../../base/index.js';
import type { Pace } from '../../core/hostpace/index.js';
import type { EjectionState } from '../../core/ejection/index.js';
import type { LimitState } from '../../core/enginelimit/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { SendCounter } from './sendcounter.js';

/** What an entry knows of one upstream, from the list and from its own requests. */
export interface UpstreamState {
  info: Upstream;
  /** True if streams may begin there that are taken up later. */
  mayBeginStreams: boolean;
  /** Requests of this entry that are in flight there. */
  inFlight: number;
  /** Requests of this entry that were sent there within the window of a rate limit. */
  readonly sent: SendCounter;
  /** Requests of other entries, by the load reported in the last answer. */
  othersLoad: number;
  othersAtMs: Ms;
  /** Requests of other entries by the last sum over all entries; used for load-aware services. */
  sharedLoad: number;
  pace: Pace;
  /** Fraction of the recent attempts that failed there: 0 to 1. */
  failureShare: number;
  /** Not chosen before this time if another upstream can be chosen. */
  avoidUntilMs: Ms;
  /** When it was last found lost: a connection did not open, or after a failure another incarnation answered. */
  lostAtMs: Ms;
  answeredAtMs: Ms;
  failedAtMs: Ms;
  /**
   * Requests of this entry whose first event has not arrived: their prompts are being processed, or wait to be
   * processed.
   */
  prefillCount: number;
  /** Streams of this entry that have begun there and not ended. */
  streamCount: number;
  /** When an event of one of these streams last arrived. */
  eventAtMs: Ms;
  /** Time between two events of a stream while few prompts are processed there. */
  unloadedGapMs: Ms;
  /** Time to the first event of a stream under the same condition. */
  unloadedFirstEventMs: Ms;
  /** The same time divided by the upstream's pace; kept for load-aware services only. */
  usualFirstEventMs: Ms;
  /** Longest gap between events that the target latency of its streams allows, as of the last event. */
  gapTargetMs: Ms;
  /**
   * Service time of one request at a plain upstream, divided by its pace if the service is load-aware; Infinity until
   * one was answered.
   */
  serviceMs: Ms;
  /** Concurrency limit, found from the gaps between events. */
  limit: LimitState;
  /** Whether it is out of service because its answers were rejected. */
  ejection: EjectionState;
  /** `model` or `model/adapter` that was found missing or was loaded, before the list shows it. */
  readonly hints: Map<string, { readonly isThere: boolean; readonly untilMs: Ms }>;
}

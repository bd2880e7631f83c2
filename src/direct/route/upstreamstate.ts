import type { Ms } from '../../base/index.js';
import type { LimitState } from '../../core/enginelimit/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { SendCount } from './sendcount.js';

/** What an entry knows of one upstream, from the list and from its own requests. */
export interface UpstreamState {
  info: Upstream;
  /** Requests of this entry that are there now. */
  inFlight: number;
  /** Requests of this entry that were sent there of late. */
  readonly sent: SendCount;
  /** Requests of others, as the last answer's load told. */
  othersLoad: number;
  othersAtMs: Ms;
  /** Part of the recent attempts that failed there: 0 to 1. */
  failureShare: number;
  /** Not chosen before then while another can be. */
  avoidUntilMs: Ms;
  /** When it was last found lost: a connection did not open, or after a failure another start answered. */
  lostAtMs: Ms;
  answeredAtMs: Ms;
  failedAtMs: Ms;
  /** Requests of this entry there whose first event has not come: their prompts are being read, or wait for it. */
  readingCount: number;
  /** Streams of this entry that have begun there and have not ended. */
  streamCount: number;
  /** When an event of one of them last came. */
  eventAtMs: Ms;
  /** Time between two events of a stream there while little is read, and to a first event. */
  calmGapMs: Ms;
  calmFirstMs: Ms;
  /** The longest pause between events with which its streams are in time, as last seen. */
  gapTargetMs: Ms;
  /** How long a plain upstream works on one request; infinite until one was answered. */
  serviceMs: Ms;
  /** How much it bears, by the gaps between its events. */
  limit: LimitState;
  /** `model` or `model/adapter` that was found missing or made present, before the list told of it. */
  readonly hints: Map<string, { readonly isThere: boolean; readonly untilMs: Ms }>;
}

import type { Result } from 'ts-results';
import type { RequestId, ServiceId, UpstreamId } from '../../base/index.js';
import type { MemberEvent, MemberPhase } from '../../core/member/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Choice } from './choice.js';
import type { Outcome } from './outcome.js';
import type { RouteRequest } from './routerequest.js';

/** Chooses an upstream for each attempt. */
export interface Router {
  /** Resolves at once, or within the deadline when a model that is being loaded is ready. */
  choose(request: RouteRequest): Promise<Result<Choice, Refusal>>;
  /** Records how an attempt ended. */
  recordOutcome(outcome: Outcome): void;
  /** Releases the state kept for a request that needs no upstream any more, however it ended. */
  release(service: ServiceId, requestId: RequestId): void;
  /** Records an observation of an upstream's liveness that does not come from a caller's request. */
  observe(service: ServiceId, event: MemberEvent): void;
  /** Returns the membership phase of each upstream of a service, as this entry sees it. */
  phases(service: ServiceId): ReadonlyMap<UpstreamId, MemberPhase>;
  /** Stops listening to the board. Waiting requests end at their deadlines. */
  close(): void;
}

import type { Result } from 'ts-results';
import type { RequestId, ServiceId, UpstreamId } from '../../base/index.js';
import type { MemberEvent, MemberPhase } from '../../core/member/index.js';
import type { Refusal } from '../../wire/index.js';
import type { Choice } from './choice.js';
import type { Outcome } from './outcome.js';
import type { Want } from './want.js';

/** Chooses upstreams for requests. */
export interface Router {
  /** Resolves at once, or when a model that is being loaded is ready, within the deadline. */
  choose(want: Want): Promise<Result<Choice, Refusal>>;
  learn(outcome: Outcome): void;
  /** Tells that a request needs no upstream any more, whatever became of it. */
  abandon(service: ServiceId, requestId: RequestId): void;
  /** Takes news of an upstream's liveness from others than callers' requests. */
  hear(service: ServiceId, event: MemberEvent): void;
  /** Where each upstream of a service stands, as this entry sees it. */
  phases(service: ServiceId): ReadonlyMap<UpstreamId, MemberPhase>;
  /** Stops listening to the board; requests that wait are settled by their deadlines. */
  close(): void;
}

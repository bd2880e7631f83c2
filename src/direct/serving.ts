import type { Clock, ModelId, Ms, ServiceId, UpstreamId } from '../base/index.js';
import type { RetryBudget } from '../core/retrybudget/index.js';
import type { CustomerSpec } from '../core/access/index.js';
import type { AccessDecision, Route, RouteTable } from '../core/routetable/index.js';
import type { Log, UpstreamLink } from '../port/index.js';
import type { Caller } from './caller.js';
import type { Origins } from './origin/index.js';
import type { PoisonGuard } from './poison/index.js';
import type { QuotaClient } from './quota/index.js';
import type { Fleet, Target } from './route/index.js';
import type { TargetWaiter } from './targetwaiter.js';
import type { UpstreamGate } from './selfreport/index.js';
import type { Waitline } from './waitline/index.js';

/** Whether a request's target was made ready. */
type TargetResult =
  /** `unplannedMs`: how long it has waited without word from the order lease holder; absent: 0. */
  | { readonly type: 'ready'; readonly unplannedMs?: Ms }
  | {
      readonly type: 'unavailable';
      readonly reason: string;
      readonly detail: string;
      readonly retryAfterMs?: Ms;
    };

/** What a request's run uses of its entry. */
export interface Serving {
  readonly clock: Clock;
  readonly log: Log;
  readonly link: UpstreamLink;
  readonly fleet: Fleet;
  readonly poison: PoisonGuard;
  readonly origins: Origins;
  readonly quota: QuotaClient;
  readonly gate: UpstreamGate;
  /** Queue of the requests of load-aware services that find no free slot. */
  readonly waitline: Waitline;
  readonly table: RouteTable | undefined;
  /** False late in a planned stop: requests not yet sent to an upstream are refused. */
  readonly mayWait: boolean;
  /** Returns false if a planned stop would end a request that is sent now before its answer is complete. */
  fitsStop(route: Route, model: ModelId | undefined, remainingMs: Ms): boolean;
  /** Records how long an upstream took for a complete answer. */
  answered(route: Route, model: ModelId | undefined, tookMs: Ms): void;
  /** Decides whether the configuration in force allows a request; undefined while there is none. */
  decideAccess(request: Caller['request']): AccessDecision | undefined;
  /** Counts a request that was refused before it was run. */
  refused(reason: string, customer: CustomerSpec | undefined): void;
  budgetOf(service: ServiceId): RetryBudget;
  /** Returns the greatest possible age of the list of upstreams, in ms. */
  listAgeMs(): Ms;
  /** Returns how many connections this entry may open to one upstream. */
  connectionLimit(upstream: UpstreamId): number;
  /** Records that every connection to an upstream that this entry may open is in use. */
  lackedConnection(upstream: UpstreamId): void;
  /** Counts a request that took a stream up, by how it ended. */
  takenUp(end: string): void;
  /** Waits until an upstream has the target loaded, or returns why none will in time. */
  waitForTarget(target: Target, waiter: TargetWaiter): Promise<TargetResult>;
  /** True if the caller was refused before and would give up if refused again. */
  isReturn(route: Route, deadlineMs: Ms | undefined): boolean;
  /** Counts the arrival of a request with this target. */
  arrived(target: Target): void;
  /** Changes the number of requests that wait because no suitable upstream accepts them now. */
  waiting(target: Target, change: 1 | -1): void;
  /** Counts a request that was refused because every upstream that has its target is full. */
  refusedFull(target: Target, isReturn: boolean): void;
  /** Counts a request that was sent to an upstream. */
  began(target: Target): void;
  /** Counts a request that ended after `tookMs` at an upstream. */
  left(target: Target, tookMs: Ms): void;
  /** Counts an attempt at an upstream by its outcome. */
  attempted(outcome: string): void;
  /** Counts an ejection of an upstream. */
  ejected(reason: string): void;
  /** Counts what was read of an answer's body. */
  received(bytes: number, pieces: number): void;
  /** Counts a stream that broke off, by what follows and whether the position to continue from is known. */
  streamBroke(next: string, position: 'known' | 'unknown'): void;
  ended(end: string, route: Route | undefined, tookMs: Ms): void;
}

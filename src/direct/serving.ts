import type { Clock, Ms, ServiceId } from '../base/index.js';
import type { ResidencyWait } from '../core/residencywait/index.js';
import type { RetryBudget } from '../core/retrybudget/index.js';
import type { CustomerSpec } from '../core/access/index.js';
import type { Judgement, Route, RouteTable } from '../core/routetable/index.js';
import type { Log, UpstreamLink } from '../port/index.js';
import type { Caller } from './caller.js';
import type { PoisonDesk } from './poison/index.js';
import type { QuotaDesk } from './quota/index.js';
import type { Fleet, Need } from './route/index.js';
import type { UpstreamGate } from './selfreport/index.js';

/** Whether what a request needs was made ready for it. */
type Sought =
  | { readonly type: 'ready' }
  | {
      readonly type: 'unavailable';
      readonly reason: string;
      readonly detail: string;
      readonly retryAfterMs?: Ms;
    };

/** What a run needs of its entry. */
export interface Serving {
  readonly clock: Clock;
  readonly log: Log;
  readonly link: UpstreamLink;
  readonly fleet: Fleet;
  readonly poison: PoisonDesk;
  readonly quota: QuotaDesk;
  readonly gate: UpstreamGate;
  readonly table: RouteTable | undefined;
  /** False late in a planned stop: what has not been sent to an upstream is refused. */
  readonly mayWait: boolean;
  /** What the configuration in force says of a request; undefined while none is known. */
  judge(request: Caller['request']): Judgement | undefined;
  /** A request was refused before anything was done for it. */
  refused(reason: string, customer: CustomerSpec | undefined): void;
  budgetOf(service: ServiceId): RetryBudget;
  /** How many connections this entry may have to one upstream. */
  connectionShare(maxConnections: number | undefined): number;
  /** Waits until an upstream holds what is needed, or says why not. */
  seek(need: Need, waiter: Omit<ResidencyWait, 'inMs' | 'isUnderWay'>): Promise<Sought>;
  /** Whether the caller was refused before, and would be lost if it were again. */
  isReturn(route: Route, deadlineMs: Ms | undefined): boolean;
  /** A request with this need has come. */
  arrived(need: Need): void;
  /** So many more requests wait, because no upstream that could run them takes them now. */
  waiting(need: Need, change: 1 | -1): void;
  /** One more request is at an upstream. */
  began(need: Need): void;
  /** One that was at an upstream for so long is there no more. */
  left(need: Need, tookMs: Ms): void;
  /** An attempt at an upstream has ended so. */
  attempted(outcome: string): void;
  ended(end: string, route: Route | undefined, tookMs: Ms): void;
}

import type { Ms } from '../../base/index.js';
import type { QueueRefusal, QueueRequest } from '../../core/admissionqueue/index.js';
import type { Route } from '../../core/routetable/index.js';
import type { Admitted } from '../intake/index.js';
import type { Target } from '../route/index.js';
import type { Serving } from '../serving.js';
import { answerTimeMs, type Place } from '../waitline/index.js';

/** What a run knows of its request when it is about to send it. */
interface QueueSituation {
  readonly target: Target;
  readonly route: Route;
  readonly rank: number;
  readonly isReturn: boolean;
  /** The request's deadline. */
  readonly untilMs: Ms;
}

interface QueueAccessOptions {
  readonly serving: Serving;
  readonly admitted: Admitted;
  /** Tries again to send the request. */
  readonly attempt: () => void;
  readonly refuse: (detail: string, retryAfterMs: Ms) => void;
}

/** A refusal after this fraction of the target latency is of no use to the caller, so that the request waits on. */
const REFUSABLE_SHARE = 0.25;
/** Callers of streams leave after 2 s without an event; a request that is late waits for at most this long. */
const MAX_LATE_WAIT_MS = 1500;
/** The rest of the target latency covers the way to the caller and requests of other entries that are not known yet. */
const TARGET_SHARE = 0.9;
/** Bound on the expected answer time, so that a wrong estimate does not make all requests of a route count as late. */
const MAX_ANSWER_SHARE = 0.5;

const DETAILS: Readonly<Record<QueueRefusal['reason'], string>> = {
  late: 'Every upstream that could take the request is full, and it would be answered too late.',
  hopeless: 'Every upstream that could take the request is full, and too little time is left.',
  full: 'The queue of this entry is full.',
};

function keyOf({ service, model, adapter, origin }: Target): string {
  const key = `${service}/${model ?? ''}/${adapter ?? ''}`;
  // A stream that is continued needs certain upstreams, and must not hold up requests that any of them can run.
  return origin ? `${key}@${origin.softwareVersion}/${origin.weightsVersion ?? ''}` : key;
}

/** One request's use of the queue of its entry. */
export class QueueAccess {
  /** Present once the request was compared with waiting ones or has waited. */
  private place: Place | undefined;

  private wasSent = false;

  constructor(private readonly options: QueueAccessOptions) {}

  /** Total time in the queue; undefined if it never waited. */
  get waitedMs(): Ms | undefined {
    if (this.place?.firstJoinedAtMs === undefined) return undefined;
    return Math.round(this.place.waitedMs);
  }

  /** Returns true if the request has to wait: no slot is free for it, or it would overtake a waiting request. */
  mustWait(situation: QueueSituation, hasNoSlot: boolean): boolean {
    const { waitline } = this.options.serving;
    if (hasNoSlot) return true;
    if (!this.place && !waitline.isUsed(keyOf(situation.target))) return false;
    return waitline.isBehind(this.placeFor(situation));
  }

  wait(situation: QueueSituation, hasNoSlot: boolean): void {
    this.options.serving.waitline.wait(this.placeFor(situation), hasNoSlot);
  }

  /** Records that the request is sent. A further attempt neither waits nor counts for its customer again. */
  sent(target: Target, rank: number): void {
    const { serving } = this.options;
    if (this.wasSent || !serving.fleet.isLoadAware(target.service)) return;
    this.wasSent = true;
    serving.waitline.sent({ ...this.shareOf(target), target: keyOf(target), rank }, this.place);
  }

  /** Leaves the queue: the request is over, or waits for something else than a free slot. */
  leave(): void {
    if (this.place) this.options.serving.waitline.leave(this.place);
  }

  private shareOf({ service }: Target): Pick<QueueRequest, 'service' | 'customer' | 'tokens'> {
    const { caller, customer } = this.options.admitted;
    return { service, customer: customer?.id ?? '', tokens: caller.request.tokens ?? 1 };
  }

  private placeFor(situation: QueueSituation): Place {
    const { attempt, refuse } = this.options;
    const { target, untilMs: deadlineAtMs } = situation;
    this.place ??= {
      waiter: {
        request: this.requestFor(situation),
        target,
        deadlineAtMs,
        attempt,
        refuse: (reason, retryAfterMs) => refuse(DETAILS[reason], retryAfterMs),
      },
      phase: 'outside',
      joinedAtMs: 0,
      waitedMs: 0,
      forecastMs: undefined,
      firstJoinedAtMs: undefined,
    };
    return this.place;
  }

  private requestFor({ target, route, rank, isReturn, untilMs }: QueueSituation): QueueRequest {
    const { serving, admitted } = this.options;
    const { id, arrivedAtMs, body } = admitted.caller.request;
    const targetMs = route.targetLatencyMs;
    const answerMs = answerTimeMs(serving.fleet, target);
    const dueAtMs =
      arrivedAtMs + targetMs * TARGET_SHARE - Math.min(answerMs, targetMs * MAX_ANSWER_SHARE);
    return {
      ...this.shareOf(target),
      id,
      target: keyOf(target),
      rank,
      arrivedAtMs,
      refusableUntilMs: arrivedAtMs + targetMs * REFUSABLE_SHARE,
      dueAtMs,
      untilMs: Math.min(untilMs - answerMs, Math.max(dueAtMs, arrivedAtMs + MAX_LATE_WAIT_MS)),
      sizeBytes: body.length,
      isReturn,
    };
  }
}

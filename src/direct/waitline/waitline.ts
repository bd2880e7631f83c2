import type { Clock, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import {
  headOf,
  leave,
  offer,
  recordSend,
  returnInMs,
  review,
  startQueue,
  wouldOvertake,
  type QueueRefusal,
} from '../../core/admissionqueue/index.js';
import { hash32 } from '../../core/hash/index.js';
import type { Log, Metrics } from '../../port/index.js';
import { has, type Fleet, type Target } from '../route/index.js';
import type { Place } from './place.js';
import type { WaitingTarget } from './waitingtarget.js';

interface WaitlineOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly fleet: Fleet;
  /** Changes the number of requests that the planner counts as waiting for a target. */
  readonly waiting: (target: Target, change: 1 | -1) => void;
}

/** The head of each target is tried at the latest after this time: a free slot may show in no message. */
const TICK_MS = 20;
/**
 * Bound on the attempts of one pass, and pause until the next one if targets are left. An attempt compares up to 53
 * upstreams (about 25 us), so that passes take at most a tenth of a core.
 */
const ATTEMPTS_PER_PASS = 16;
const PAUSE_MS = 5;
/**
 * Requests of a target that may have found a slot without having been sent: before a request is sent, its caller is
 * confirmed to be connected. The bound limits how many are tried for the same slot.
 */
const MAX_CLAIMS = 4;
/** A request that is not sent within this time after its attempt waits for something else than its caller. */
const CLAIM_MS = 20;
/** A forecast refuses requests only if the target was found without a free slot within this time. */
const BLOCKED_MS = 2 * TICK_MS;
/** Number of hash values. */
const HASH_RANGE = 2 ** 32;

/** Holds the requests of an entry that found no free slot, and decides which of them is tried next. */
export class Waitline {
  private readonly state = startQueue();

  private readonly places = new Map<string, Place>();

  private readonly targets = new Map<string, WaitingTarget>();

  /** Targets whose head has to be tried. */
  private readonly due = new Set<string>();

  private cancelPass: (() => void) | undefined;

  private passAtMs: Ms = Infinity;

  /** No pass starts before this time. */
  private pausedUntilMs: Ms = -Infinity;

  private isTicking = false;

  constructor(private readonly options: WaitlineOptions) {}

  /** Number of waiting requests. */
  get size(): number {
    return this.state.waiting.size;
  }

  /** Returns true if requests for a target wait or are about to be sent. */
  isUsed(target: string): boolean {
    return this.targets.has(target);
  }

  /** Returns true if a request that is sent now would overtake one that waits or is about to be sent. */
  isBehind({ waiter, phase }: Place): boolean {
    if (phase === 'trying') return false;
    const { request } = waiter;
    const claims = this.claimsOf(request.target);
    if (claims.has(request.id)) return false;
    for (const claim of claims.values()) {
      if (claim.request.rank <= request.rank) return true;
    }
    return wouldOvertake(this.state, request, this.nowMs);
  }

  /**
   * Makes a request wait, or go on waiting if its attempt is under way. `hasNoSlot` is true if no slot is free for it,
   * false if it only waits behind others. It may be refused at once.
   */
  wait(place: Place, hasNoSlot: boolean): void {
    const draft = place;
    const { waiter, phase } = place;
    const { request, target } = waiter;
    const { nowMs } = this;
    const known = this.targets.get(request.target);
    const waitingTarget = known ?? { target, blockedAtMs: -Infinity, claims: new Map() };
    this.targets.set(request.target, waitingTarget);
    if (hasNoSlot) waitingTarget.blockedAtMs = nowMs;
    waitingTarget.claims.delete(request.id);
    if (phase === 'trying' || phase === 'waiting') {
      draft.phase = 'waiting';
      return;
    }
    draft.phase = 'waiting';
    draft.joinedAtMs = nowMs;
    draft.firstJoinedAtMs ??= nowMs;
    this.places.set(request.id, place);
    this.options.waiting(target, 1);
    const refused = offer(this.state, request, this.isBlocked(request.target), nowMs);
    draft.forecastMs ??= this.state.waiting.get(request.id)?.forecastMs;
    for (const refusal of refused) this.refuse(refusal);
    if (!hasNoSlot) this.wake(request.target);
    this.tickLater();
  }

  /** Records that a request of a load-aware service was sent; `place` is that of one that has waited. */
  sent(request: Parameters<typeof recordSend>[1], place?: Place): void {
    const { nowMs } = this;
    const { metrics } = this.options;
    recordSend(this.state, request, place?.firstJoinedAtMs !== undefined, nowMs);
    if (!place) return;
    this.leave(place);
    if (place.firstJoinedAtMs === undefined) return;
    metrics.histogram('direct.queue_wait_ms', nowMs - place.firstJoinedAtMs);
    const errorMs = nowMs - (place.forecastMs ?? nowMs);
    const side = errorMs > 0 ? 'later' : 'earlier';
    metrics.histogram('direct.queue_forecast_error_ms', Math.abs(errorMs), { side });
  }

  /** Removes a request that was sent, is over, or waits for something else than a free slot. */
  leave(place: Place): void {
    this.remove(place);
    const { target, id } = place.waiter.request;
    if (this.targets.get(target)?.claims.delete(id)) this.wake(target);
  }

  /** Tries the targets that an upstream holds: a request or a prompt there has ended. */
  wakeAt(upstream: UpstreamId): void {
    if (this.size === 0) return;
    const state = this.options.fleet.get(upstream);
    if (!state) return;
    for (const [key, { target }] of this.targets) {
      const isThere = target.service === state.info.service && has(state, target, this.nowMs);
      if (isThere) this.wakeAfterChange(key);
    }
  }

  /** Tries the targets of a service: its upstreams or what is loaded there have changed. */
  wakeService(service: ServiceId): void {
    if (this.size === 0) return;
    for (const [key, { target }] of this.targets) {
      if (target.service === service) this.wakeAfterChange(key);
    }
  }

  /** Tries all targets: what is known of the load of upstreams has changed. */
  wakeAll(): void {
    for (const key of this.targets.keys()) this.wakeAfterChange(key);
  }

  private get nowMs(): Ms {
    return this.options.clock.nowMs();
  }

  private isBlocked(target: string): boolean {
    const blockedAtMs = this.targets.get(target)?.blockedAtMs ?? -Infinity;
    return this.nowMs - blockedAtMs <= BLOCKED_MS;
  }

  /** Returns the claims of a target that are not too old. */
  private claimsOf(target: string): WaitingTarget['claims'] {
    const claims: WaitingTarget['claims'] = this.targets.get(target)?.claims ?? new Map();
    for (const [id, { atMs }] of claims) {
      if (this.nowMs - atMs >= CLAIM_MS) claims.delete(id);
    }
    return claims;
  }

  /** Tries a target that may have free slots now: until that is known, no forecast refuses requests for it. */
  private wakeAfterChange(key: string): void {
    const target = this.targets.get(key);
    if (target) target.blockedAtMs = -Infinity;
    this.wake(key);
  }

  private wake(target: string): void {
    if (!this.targets.has(target)) return;
    this.due.add(target);
    this.passLater();
  }

  private passLater(): void {
    const atMs = Math.max(this.nowMs, this.pausedUntilMs);
    if (this.passAtMs <= atMs) return;
    this.cancelPass?.();
    this.passAtMs = atMs;
    this.cancelPass = this.options.clock.after(atMs - this.nowMs, () => this.pass());
  }

  private tickLater(): void {
    if (this.isTicking || this.targets.size === 0) return;
    this.isTicking = true;
    this.options.clock.after(TICK_MS, () => {
      this.isTicking = false;
      this.refuseHopeless();
      this.dropTargets();
      for (const key of this.targets.keys()) this.wake(key);
      this.tickLater();
    });
  }

  private dropTargets(): void {
    for (const key of this.targets.keys()) {
      const isUsed = this.state.targets.get(key)?.size ?? 0;
      if (isUsed === 0 && this.claimsOf(key).size === 0) this.targets.delete(key);
    }
  }

  private refuseHopeless(): void {
    const isBlocked = (target: string) => this.isBlocked(target);
    for (const refusal of review(this.state, isBlocked, this.nowMs)) this.refuse(refusal);
  }

  /** Tries the heads of the targets that are due, those with the most urgent heads first. */
  private pass(): void {
    this.cancelPass = undefined;
    this.passAtMs = Infinity;
    let left = ATTEMPTS_PER_PASS;
    for (const key of this.dueInOrder()) {
      while (left > 0 && this.tryHead(key)) left -= 1;
      if (left <= 0) break;
      left -= 1;
      this.due.delete(key);
    }
    if (left <= 0) this.pausedUntilMs = this.nowMs + PAUSE_MS;
    if (this.due.size > 0) this.passLater();
  }

  private dueInOrder(): readonly string[] {
    const { state, nowMs } = this;
    const heads: { readonly key: string; readonly group: number }[] = [];
    for (const key of this.due) {
      const head = headOf(state, key, nowMs);
      if (head) heads.push({ key, group: head.group });
      else this.due.delete(key);
    }
    return heads.sort((one, other) => one.group - other.group).map(({ key }) => key);
  }

  /** Tries the head of a target. Returns false if no further request can be tried now. */
  private tryHead(key: string): boolean {
    const claims = this.claimsOf(key);
    if (claims.size >= MAX_CLAIMS) return false;
    const head = headOf(this.state, key, this.nowMs);
    const place = head && this.places.get(head.request.id);
    if (!place) return false;
    place.phase = 'trying';
    place.waiter.attempt();
    if (this.isIn(place, 'waiting')) return false;
    if (!this.isIn(place, 'trying')) return true;
    this.remove(place);
    place.phase = 'claimed';
    const { request } = place.waiter;
    this.targets.get(key)?.claims.set(request.id, { request, atMs: this.nowMs });
    return true;
  }

  private isIn({ phase }: Place, expected: Place['phase']): boolean {
    return phase === expected;
  }

  /** Removes a request from the queue, if it is in it. */
  private remove(place: Place): void {
    const draft = place;
    const isInside = place.phase === 'waiting' || place.phase === 'trying';
    draft.phase = 'outside';
    if (!isInside) return;
    const { waiter } = place;
    const { request, target } = waiter;
    draft.waitedMs += this.nowMs - place.joinedAtMs;
    this.places.delete(request.id);
    leave(this.state, request.id, this.nowMs);
    this.options.waiting(target, -1);
  }

  private refuse(refusal: QueueRefusal): void {
    const { request, reason, ahead, expectedStartMs } = refusal;
    const place = this.places.get(request.id);
    if (!place) return;
    this.remove(place);
    const { log, metrics } = this.options;
    const { nowMs } = this;
    const { waiter } = place;
    const spread = hash32(request.id) / HASH_RANGE;
    const retryAfterMs = returnInMs(refusal, waiter.deadlineAtMs - nowMs, spread, nowMs);
    metrics.count('direct.queue_refused', 1, { reason });
    log.info('queue refused', {
      requestId: request.id,
      reason,
      rank: request.rank,
      customer: request.customer,
      position: ahead,
      expectedStartMs: Math.round(expectedStartMs - nowMs),
      waitedMs: Math.round(place.waitedMs),
      retryAfterMs,
    });
    waiter.refuse(reason, retryAfterMs);
  }
}

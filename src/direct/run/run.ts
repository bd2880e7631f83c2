import type { Clock, Ms, ServiceId, UpstreamId } from '../../base/index.js';
import { spreadRetryAfterMs } from '../../core/retryafter/index.js';
import { nextStep, type AttemptEnd, type Progress } from '../../core/delivery/index.js';
import { hash32 } from '../../core/hash/index.js';
import { plainWaitRules } from '../../core/plainwait/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import { promptPaceRules } from '../../core/promptpace/index.js';
import { continuedHoldMs } from '../../core/residencywait/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import { pickService, requestUrgency, type Route } from '../../core/routetable/index.js';
import type { Log, UpstreamLink } from '../../port/index.js';
import type { Caller } from '../caller.js';
import { quotaRefusal, type Admitted } from '../intake/index.js';
import { afterReads } from '../../shell/loop/index.js';
import type { Refusal } from '../refusal.js';
import type { Block, Fleet, Target, UpstreamState } from '../route/index.js';
import type { Serving } from '../serving.js';
import type { FoundOrigin } from '../origin/index.js';
import { Attempt } from './attempt.js';
import { QueueAccess } from './queueaccess.js';
import { Reply } from './reply.js';
import { capacityWaitMs } from './capacitywait.js';
import { resumptionFields } from './resumptionfields.js';
import { RetryCharge } from './retrycharge.js';
import type { RunRecord } from './runrecord.js';
import { Suspicion } from './suspicion.js';

/** Retry-after time of a refusal; the queue of an upstream empties within about this time. */
const RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 1000;
/** While this entry stops, another one accepts the request at once. */
const STOPPING_RETRY_AFTER_MS = 20;
/** Interval between checks for capacity. */
const CAPACITY_CHECK_MS = 20;
/** The same for a stream that goes on, which may wait for many seconds, after its first second: it spares the processor. */
const LONG_WAIT_CHECK_MS = 100;
const LONG_WAIT_MS = 1000;
/** Bound of the searches by one request: an upstream reported as ready may refuse, and may then be found again. */
const MAX_TARGET_WAITS = 4;
/** An id of an event is the upstream's text. */
const MAX_LOGGED_ID_LENGTH = 64;
/** Number of hash values. */
const HASH_RANGE = 2 ** 32;
/** Delay before upstreams that refused are tried again; a few runs end within it. */
const NEXT_ROUND_MS = 50;
/**
 * The same for a stream that goes on, which has no other upstream, by the number of refusals: within these times the
 * list shows an upstream that has restarted, and a slot becomes free at a full one.
 */
const STREAM_ROUND_MS = [NEXT_ROUND_MS, 400, 1600];
/** A trial crashes its upstream or clears its traits within about this time. */
const SUSPECT_RETRY_AFTER_MS = 1000;
/** Interval between checks whether a run has cleared the suspected traits; most runs take longer. */
const VERDICT_CHECK_MS = 50;

/** Refusals of requests that a new configuration stopped allowing while they waited. */
const WITHDRAWN = {
  'route-unknown': { end: 'route-withdrawn', detail: 'The route was withdrawn.' },
  'key-unknown': { end: 'key-withdrawn', detail: 'The key was withdrawn.' },
  outdated: { end: 'outdated', detail: 'The configuration that this entry knows may be outdated.' },
} as const;

/** Refusals of requests for which every upstream is blocked. */
const BLOCKED = {
  limited: {
    end: 'upstreams-limited',
    detail: 'Every upstream that could run the request has reached its rate limit.',
  },
  paused: {
    end: 'upstreams-paused',
    detail: 'Every upstream that could run the request has asked this entry for a backoff.',
  },
} as const;

/** Runs one caller's request: chooses upstreams, waits for capacity and repeats attempts if needed. */
export class Run {
  private readonly tried = new Set<UpstreamId>();

  private route: Route;

  private target: Target | undefined;

  /** The attempt under way. */
  private current: Attempt | undefined;

  /** When the last attempt began. */
  private sentAtMs: Ms = 0;

  private readonly reply: Reply;

  /** True once every upstream that holds the target has been tried. */
  private hasTriedAll = false;

  /** What is known of the stream that the request resumes; undefined if it resumes none. */
  private resumed: FoundOrigin | undefined;

  private isOver = false;

  /** True once the order lease holder has been asked for an upstream that holds the target. */
  private hasWaitedForTarget = false;

  private targetWaitCount = 0;

  /** When the wait for a target that is under way began. */
  private waitingFromMs: Ms | undefined;

  /** True from a wait for a target until an attempt has reached an upstream. */
  private isUnreached = false;

  /** How long the request has waited without word of a load since it last reached an upstream. */
  private unplannedMs: Ms = 0;

  /** Attempts that reached no upstream since the last one that did. */
  private unreachedCount = 0;

  /** True while an ejected upstream is tried, because none in service could take the request. */
  private usesEjected = false;

  private readonly suspicion: Suspicion;

  /** The request was refused before, and its caller retries. */
  private isReturn = false;

  private ranCount = 0;

  private refusedCount = 0;

  /** True if the last attempt was not sent because every connection to its upstream was in use. */
  private isUnconnected = false;

  private untilMs: Ms = Infinity;

  private readonly retryCharge = new RetryCharge();

  private readonly queue: QueueAccess;

  private forgetTimer = () => {};

  private readonly record: RunRecord = {
    attempts: [],
    softwareVersions: [],
    firstSentAtMs: undefined,
    firstByteAtMs: undefined,
    listAgeMs: undefined,
    longestGapMs: 0,
    answerBytes: 0,
    answerPieces: 0,
    pacedMs: 0,
    blockedMs: 0,
    targetWaitMs: 0,
    unconnectedCount: 0,
  };

  constructor(
    private readonly serving: Serving,
    private readonly admitted: Admitted,
    private readonly over: () => void,
  ) {
    this.route = admitted.route;
    this.reply = new Reply(admitted.caller, (origin) => this.streamBegins(origin));
    this.suspicion = new Suspicion(serving.poison, admitted.caller.request);
    const attempt = () => this.attempt();
    const refuse = (detail: string, ms: Ms) => this.giveUp('upstreams-full', detail, ms);
    this.queue = new QueueAccess({ serving, admitted, attempt, refuse });
  }

  private get caller(): Caller {
    return this.admitted.caller;
  }

  private get urgency(): ReturnType<typeof requestUrgency> {
    return requestUrgency(this.route, this.admitted.customer, this.serving.table?.access);
  }

  /** What the stream began with, once it has; it is only continued with the same. */
  private get origin(): StreamOrigin | undefined {
    return this.reply.origin ?? this.resumed?.origin;
  }

  /** True if the request takes up a stream that an earlier one began, and has brought nothing of it yet. */
  private get isTakingUp(): boolean {
    return this.resumed?.origin !== undefined && !this.reply.hasBegun;
  }

  private get service(): ServiceId {
    return this.origin?.service ?? pickService(this.route, this.caller.request.id);
  }

  private get clock(): Clock {
    return this.serving.clock;
  }

  private get log(): Log {
    return this.serving.log;
  }

  start(): void {
    const { caller, serving } = this;
    const { request } = caller;
    caller.onGone(() => this.gone());
    caller.onEvict(() => this.evict());
    const { route } = this;
    const deadlineMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.untilMs = request.arrivedAtMs + deadlineMs;
    this.isReturn = serving.isReturn(route, request.deadlineMs);
    const waitMs = Math.max(0, this.untilMs - this.clock.nowMs());
    this.forgetTimer = this.clock.after(waitMs, () => this.deadlinePassed());
    caller.onFree(() => this.current?.resume());
    const { service } = this;
    serving.budgetOf(service).request(this.clock.nowMs());
    serving.arrived({ service, model: request.model, adapter: request.adapter });
    if (route.isResumable && request.resumeAfter !== undefined) void this.resume();
    else this.attempt();
  }

  /** Continues a stream that an earlier request of the caller began, at whichever entry. */
  private async resume(): Promise<void> {
    const { serving, route, caller } = this;
    this.resumed = await serving.origins.find(caller.request, route);
    if (this.isOver) return;
    if (this.resumed.origin) {
      this.attempt();
      return;
    }
    const detail =
      'The stream may have begun at several software versions, and it is not known at which one.';
    this.giveUp('stream-origin-unknown', detail);
  }

  /** Refuses the request if it is not at an upstream: the process is about to end. */
  stopWaiting(): void {
    if (this.current || this.isOver) return;
    this.giveUp('stopping', 'This entry is about to end.', STOPPING_RETRY_AFTER_MS);
  }

  /** Refuses the request if it waits and a planned stop leaves too little time for its answer. */
  refuseIfLate(): void {
    if (!this.fitsStop(this.route)) this.stopWaiting();
  }

  /** Ends the request because the process ends: it is refused, or cut if its answer has begun. */
  endNow(): void {
    const detail = 'This entry ended before an answer came.';
    const end = () => this.abandon('stopping', detail, STOPPING_RETRY_AFTER_MS);
    // After a stall the stop goes on before the answer is read that may lie in the socket.
    if (this.current) afterReads(this.clock, end);
    else end();
  }

  private progress(): Progress {
    const { route } = this;
    const isResumable = route.isResumable && this.reply.lastEventId !== undefined;
    return {
      isRepeatable:
        route.kind === 'idempotent' || (route.kind === 'streaming' && route.isResumable),
      isResumable,
      hasBegun: this.reply.hasBegun,
      ranCount: this.ranCount,
      refusedCount: this.refusedCount,
      maxAttempts: route.maxAttempts,
      remainingMs: this.untilMs - this.clock.nowMs(),
    };
  }

  /** Sends the request to an upstream that can run it; otherwise waits, searches or refuses. */
  private attempt(): void {
    if (this.isOver || this.isBarred()) return;
    const { caller, serving, clock } = this;
    const { request } = caller;
    // After a stall of the event loop, the timer that calls this may fire before the one of the deadline.
    if (clock.nowMs() >= this.untilMs) {
      this.timeout();
      return;
    }
    // The configuration may have changed while the request waited.
    const decision = serving.decideAccess(request);
    if (decision?.type !== 'allowed') {
      this.withdrawn(decision?.type ?? 'outdated');
      return;
    }
    const { route } = decision;
    this.route = route;
    if (!this.admitted.charge.covers(this.ranCount)) {
      void this.payAgain();
      return;
    }
    if (!this.isOnRoute()) {
      this.giveUp('stream-withdrawn', 'The route no longer leads to the service of the stream.');
      return;
    }
    const { origin } = this;
    this.target = {
      service: this.service,
      model: request.model,
      adapter: request.adapter,
      origin,
      isResumable: route.isResumable || undefined,
    };
    if (origin && !serving.fleet.mayContinue(origin)) {
      this.versionGone();
      return;
    }
    if (!serving.mayWait || !this.fitsStop(route)) {
      this.stopWaiting();
      return;
    }
    const nowMs = clock.nowMs();
    // A request without a model has no alternative to an upstream that may be lost; a model can be loaded elsewhere.
    // A stream that has waited does so until the upstream may be tried again.
    const includesLost =
      request.model === undefined ? !this.isUnreached : this.hasWaitedForTarget && !this.isTakingUp;
    const mustAsk = this.suspicion.permission() === 'ask-first';
    const isTrial = mustAsk || this.suspicion.isTrial;
    const requestId = request.id;
    const choosing: Parameters<Fleet['chooseEjected']>[2] = {
      tried: this.tried,
      includesLost,
      isTrial,
      requestId,
      targetMs: route.targetLatencyMs - (nowMs - request.arrivedAtMs),
      isUrgent: this.urgency.isFirst || this.isReturn,
      seed: hash32(requestId),
    };
    const state = this.choose(choosing, nowMs);
    const block = state ? undefined : this.blockFor(nowMs, includesLost);
    if (!state) this.queue.leave();
    const hold = state && this.holdFor(state, nowMs);
    if (hold) hold();
    else if (state && !caller.isPresent) caller.whenPresent(() => this.attempt());
    else if (state && mustAsk) void this.beginTrial();
    else if (state) this.send(state, route);
    else if (block && !this.mayBeLoaded()) this.waitForSlot(block);
    else if (this.isHeldByTried(nowMs)) this.tryAgainLater();
    else if (this.isTakingUp || this.targetWaitCount < MAX_TARGET_WAITS) this.waitForTarget();
    else this.tryAgainLater();
  }

  /** Chooses an upstream; an ejected one that is due for a probe only if the request can be sent there at once. */
  private choose(
    choosing: Parameters<Fleet['chooseEjected']>[2],
    nowMs: Ms,
  ): UpstreamState | undefined {
    const { fleet } = this.serving;
    const target = this.target!;
    if (this.usesEjected) return fleet.chooseEjected(target, nowMs, choosing);
    const { isRepeatable, ranCount, maxAttempts } = this.progress();
    const probes = isRepeatable && ranCount + 1 < maxAttempts ? 'repeatable' : 'unrepeatable';
    const state = fleet.choose(target, nowMs, { ...choosing, probes });
    if (!state?.ejection.isEjected || !this.timerFor(state, nowMs)) return state;
    return fleet.choose(target, nowMs, choosing);
  }

  /**
   * Tries an ejected upstream before a request is refused for want of capacity. Returns false if none can be tried, or
   * if the request may not be repeated: it would rather be refused as not run than end without an answer.
   */
  private triesEjected(): boolean {
    const { clock, serving, tried } = this;
    if (this.usesEjected || serving.fleet.ejectedCount === 0) return false;
    if (!this.progress().isRepeatable) return false;
    const choosing = { tried, includesLost: false };
    const state = serving.fleet.chooseEjected(this.target!, clock.nowMs(), choosing);
    if (!state || this.timerFor(state, clock.nowMs())) return false;
    this.usesEjected = true;
    this.attempt();
    this.usesEjected = false;
    return true;
  }

  /**
   * Refuses a stream of whose version no upstream is left. Only one that returns can serve it, which takes seconds, so
   * that the caller's few tries are spread over the time that it has left.
   */
  private versionGone(): void {
    const detail = 'No upstream runs the software version that the stream began with.';
    const remainingMs = this.untilMs - this.clock.nowMs();
    this.giveUp('stream-version-gone', detail, spreadRetryAfterMs(remainingMs, this.place()));
  }

  /** Returns true if a planned stop leaves enough time for the answer. A request that may have run is not refused. */
  private fitsStop(route: Route): boolean {
    if (this.ranCount > 0 || this.reply.hasBegun) return true;
    const remainingMs = this.untilMs - this.clock.nowMs();
    return this.serving.fitsStop(route, this.caller.request.model, remainingMs);
  }

  /** Returns the block that a request waits for; a stream cannot be sent to an upstream that counts as lost. */
  private blockFor(nowMs: Ms, includesLost: boolean): Block | undefined {
    const { id } = this.caller.request;
    return this.serving.fleet.blockFor(this.target!, nowMs, id, includesLost || !this.isTakingUp);
  }

  /** Returns false if the stream began at a service that a new configuration has taken off the route. */
  private isOnRoute(): boolean {
    return this.route.destinations.some(({ service }) => service === this.service);
  }

  /** Refuses the request: the configuration has stopped allowing it. */
  private withdrawn(type: keyof typeof WITHDRAWN): void {
    const { end, detail } = WITHDRAWN[type];
    const isUntouched = this.ranCount === 0 && !this.reply.hasBegun;
    if (type === 'key-unknown' && isUntouched) this.refuse(401, end, detail);
    else this.giveUp(end, detail);
  }

  /** Pays for a further run, or for one whose payment is too old, before it is sent. */
  private async payAgain(): Promise<void> {
    const taken = await this.admitted.charge.pay(this.ranCount);
    if (this.isOver) return;
    if (taken.type === 'paid') {
      this.attempt();
      return;
    }
    const { status, type, detail, retryAfterMs } = quotaRefusal(taken);
    if (this.ranCount > 0 || this.reply.hasBegun) this.giveUp(type, detail);
    else this.refuse(status, type, detail, retryAfterMs);
  }

  /** Refuses the request if upstreams crash under its content or under a part of its prompt. */
  private isBarred(): boolean {
    if (this.suspicion.permission() !== 'barred') return false;
    const detail =
      'Upstreams crashed each time they ran requests with this content or a part of this prompt.';
    this.giveUp('request-ends-upstreams', detail, this.suspicion.remainingMs());
    return true;
  }

  /** Runs the request as a trial, if no other run with a suspected trait of it is under way. */
  private async beginTrial(): Promise<void> {
    const mayRun = await this.suspicion.begin();
    if (this.isOver) {
      this.suspicion.end();
      return;
    }
    if (mayRun) {
      this.attempt();
      return;
    }
    if (!this.reply.hasBegun && this.mayWaitForCapacity()) {
      this.clock.after(VERDICT_CHECK_MS, () => this.attempt());
      return;
    }
    const detail =
      'An upstream crashed under a request like this one, and another such request may be running.';
    this.giveUp('request-suspected', detail, SUSPECT_RETRY_AFTER_MS);
  }

  /** Returns what the request does instead of being sent to its upstream now; undefined if it can be sent. */
  private holdFor(state: UpstreamState, nowMs: Ms): (() => void) | undefined {
    const hold = this.timerFor(state, nowMs);
    // A request that has run or whose stream has begun is not refused, so that it does not wait in the queue.
    if (!this.isLoadAware || this.ranCount > 0 || this.reply.hasBegun) return hold;
    const { route, isReturn, untilMs } = this;
    const target = this.target!;
    const situation = { target, route, rank: this.urgency.rank, isReturn, untilMs };
    if (!this.queue.mustWait(situation, hold !== undefined)) return undefined;
    return () => this.queue.wait(situation, hold !== undefined);
  }

  private get isLoadAware(): boolean {
    return this.serving.fleet.isLoadAware(this.target!.service);
  }

  /** Returns the wait for a better moment if the upstream cannot take the request in time now. */
  private timerFor(state: UpstreamState, nowMs: Ms): (() => void) | undefined {
    if (this.isAtLimit(state, nowMs)) return () => this.waitForCapacity();
    if (this.isQueueTooLong(state, nowMs)) return () => this.waitForQueue();
    if (this.isToBePaced(state, nowMs)) return () => this.pace();
    return undefined;
  }

  /** Returns true if a request of this urgency would be answered too late by an engine, which has reached its limit. */
  private isAtLimit(state: UpstreamState, nowMs: Ms): boolean {
    if (this.target!.model === undefined || this.ranCount > 0) return false;
    // A caller that was refused once gives up after another refusal.
    const isUrgent = this.urgency.isFirst || this.isReturn;
    const targetMs = this.route.targetLatencyMs - (nowMs - this.caller.request.arrivedAtMs);
    return this.serving.fleet.isFull(state, isUrgent, nowMs, targetMs);
  }

  /** Returns true if a plain upstream would answer one more request too late. */
  private isQueueTooLong(state: UpstreamState, nowMs: Ms): boolean {
    if (this.target!.model !== undefined) return false;
    if (this.reply.hasBegun && this.isLoadAware) return false;
    const heldMs = nowMs - this.caller.request.arrivedAtMs;
    return !this.serving.fleet.mayJoin(state, heldMs, this.route.targetLatencyMs, nowMs);
  }

  /** Waits for a plain upstream with a shorter queue; refuses the request once it would be late anyway. */
  private waitForQueue(): void {
    const { arrivedAtMs } = this.caller.request;
    const heldMs = this.clock.nowMs() - arrivedAtMs;
    const wholeMs = this.untilMs - arrivedAtMs;
    if (heldMs < wholeMs * plainWaitRules.lateWaitShare) {
      this.clock.after(plainWaitRules.recheckMs, () => this.attempt());
      return;
    }
    if (this.triesEjected()) return;
    const retryAfterMs = spreadRetryAfterMs(wholeMs - heldMs, this.place());
    this.giveUp('upstreams-full', 'The queue of every upstream is too long.', retryAfterMs);
  }

  /** Returns true if a prompt should wait while the engine processes others, as far as the target latency allows it. */
  private isToBePaced(state: UpstreamState, nowMs: Ms): boolean {
    const { kind, gapTargetMs, targetLatencyMs } = this.route;
    if (kind !== 'streaming' || this.reply.hasBegun) return false;
    const heldMs = nowMs - this.caller.request.arrivedAtMs;
    if (heldMs >= targetLatencyMs * promptPaceRules.holdShare) return false;
    return this.serving.fleet.isPrefilling(state, gapTargetMs, nowMs);
  }

  private pace(): void {
    this.record.pacedMs += promptPaceRules.recheckMs;
    this.clock.after(promptPaceRules.recheckMs, () => this.attempt());
  }

  /** Waits as long as the target latency allows, then refuses the request. */
  private waitForCapacity(): void {
    if (this.mayWaitForCapacity()) {
      const heldMs = this.clock.nowMs() - this.caller.request.arrivedAtMs;
      const isLong = this.isTakingUp && heldMs >= LONG_WAIT_MS;
      const checkMs = isLong ? LONG_WAIT_CHECK_MS : CAPACITY_CHECK_MS;
      this.clock.after(checkMs, () => this.attempt());
      return;
    }
    if (this.triesEjected()) return;
    this.giveUp(
      'upstreams-full',
      'Every upstream that could take the request is full.',
      this.retryAfterMs(),
    );
  }

  /** Returns true if the target can be loaded elsewhere in time: an adapter loads within milliseconds. */
  private mayBeLoaded(): boolean {
    return this.target!.adapter !== undefined && !this.hasWaitedForTarget;
  }

  /** Every upstream that holds the target is blocked: waits for a slot while that can be in time, else refuses. */
  private waitForSlot({ reason, opensInMs }: Block): void {
    const { serving, clock } = this;
    const target = this.target!;
    const nowMs = clock.nowMs();
    // A stream that has begun waits until its deadline: a refusal would cut it.
    const waitMs = this.reply.hasBegun ? this.untilMs - nowMs : this.remainingWaitMs();
    const isKnown = Number.isFinite(opensInMs);
    if (waitMs <= 0 || (isKnown && opensInMs > waitMs)) {
      if (this.triesEjected()) return;
      const afterMs = Math.max(RETRY_AFTER_MS, isKnown ? opensInMs : 0);
      const { end, detail } = BLOCKED[reason];
      const spreadMs = this.place() * Math.min(afterMs, MAX_RETRY_AFTER_MS);
      this.giveUp(end, detail, Math.round(afterMs + spreadMs));
      return;
    }
    const ask = {
      requestId: this.caller.request.id,
      rank: this.urgency.rank,
      waitMs: Math.max(0, waitMs - rateRules.minUsableMs),
    };
    serving.fleet.requestSlot(target, ask, nowMs);
    this.record.blockedMs += CAPACITY_CHECK_MS;
    serving.waiting(target, 1);
    clock.after(CAPACITY_CHECK_MS, () => {
      serving.waiting(target, -1);
      this.attempt();
    });
  }

  /**
   * Returns a number from 0 to 1 that is derived from the request id. It spreads the retries of requests refused at the
   * same time.
   */
  private place(): number {
    return hash32(this.caller.request.id) / HASH_RANGE;
  }

  /** Returns true while the target latency, or the deadline of a stream that goes on, leaves time for waiting. */
  private mayWaitForCapacity(): boolean {
    return this.remainingWaitMs() > 0;
  }

  private remainingWaitMs(): Ms {
    const { arrivedAtMs } = this.caller.request;
    const targetMs = this.route.targetLatencyMs;
    const wholeMs = this.untilMs - arrivedAtMs;
    const waitMs = this.isTakingUp
      ? continuedHoldMs(wholeMs)
      : capacityWaitMs({ targetMs, wholeMs, isReturn: this.isReturn });
    return waitMs - (this.clock.nowMs() - arrivedAtMs);
  }

  /** Returns true if an upstream that was tried already, and is not lost, holds the target. */
  private isHeldByTried(nowMs: Ms): boolean {
    return this.serving.fleet.choose(this.target!, nowMs, { includesLost: false }) !== undefined;
  }

  /** All upstreams that hold the target refused it or were unreachable: tries each of them once more. */
  private tryAgainLater(): void {
    if (this.isUnconnected) {
      this.waitForConnection();
      return;
    }
    // A stream that is taken up may run again within its attempts, and can go on nowhere else.
    if (!this.isTakingUp && (this.ranCount > 0 || this.hasTriedAll)) {
      if (this.triesEjected()) return;
      this.giveUp('upstreams-full', 'No upstream could take the request.', this.retryAfterMs());
      return;
    }
    this.hasTriedAll = true;
    this.tried.clear();
    this.clock.after(this.roundMs, () => this.attempt());
  }

  /** Delay before an upstream that refused is tried again. */
  private get roundMs(): Ms {
    if (!this.isTakingUp) return NEXT_ROUND_MS;
    const failedCount = this.unreachedCount > 0 ? this.unreachedCount : this.refusedCount;
    const at = Math.min(Math.max(1, failedCount), STREAM_ROUND_MS.length) - 1;
    return STREAM_ROUND_MS[at]!;
  }

  /** Waits as long as the target latency allows for a connection, of which others may be lent within milliseconds. */
  private waitForConnection(): void {
    if (!this.reply.hasBegun && !this.mayWaitForCapacity()) {
      if (this.triesEjected()) return;
      const detail = 'Every connection that this entry may open to the upstreams is in use.';
      this.giveUp('connections-in-use', detail, RETRY_AFTER_MS);
      return;
    }
    this.isUnconnected = false;
    this.tried.clear();
    this.clock.after(CAPACITY_CHECK_MS, () => this.attempt());
  }

  /** Returns the retry-after time of a full upstream. Long streams take longer to end, so theirs is longer. */
  private retryAfterMs(): Ms {
    if (this.target?.model !== undefined) {
      return spreadRetryAfterMs(this.untilMs - this.clock.nowMs(), this.place());
    }
    return Math.max(RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, this.route.targetLatencyMs));
  }

  /** Has the target found or loaded: no known upstream holds it. */
  private waitForTarget(): void {
    const target = this.target!;
    const { request } = this.caller;
    const nowMs = this.clock.nowMs();
    const waiter = {
      heldMs: nowMs - request.arrivedAtMs,
      remainingMs: this.untilMs - nowMs,
      targetMs: this.route.targetLatencyMs,
      isContinued: this.isTakingUp,
      unplannedMs: this.unplannedMs,
      place: this.place(),
      isOver: () => this.isOver,
    };
    this.hasWaitedForTarget = true;
    this.isUnreached = true;
    this.targetWaitCount += 1;
    this.waitingFromMs = nowMs;
    // It may wait for many seconds, in which other requests can use the retry.
    if (this.isTakingUp) this.retryCharge.settle();
    void this.serving.waitForTarget(target, waiter).then((found) => {
      if (this.isOver) return;
      this.endTargetWait();
      if (found.type === 'ready') {
        this.unplannedMs = found.unplannedMs ?? 0;
        this.attemptAgain(nowMs);
      } else if (found.reason === 'stream-version-gone') this.versionGone();
      else this.giveUp(found.reason, found.detail, found.retryAfterMs);
    });
  }

  private endTargetWait(): void {
    const { waitingFromMs, record, clock } = this;
    if (waitingFromMs === undefined) return;
    record.targetWaitMs += clock.nowMs() - waitingFromMs;
    this.waitingFromMs = undefined;
  }

  /** Goes on after a wait since `waitedFromMs`: the holder may still report as ready what has just refused. */
  private attemptAgain(waitedFromMs: Ms): void {
    if (!this.isTakingUp) {
      this.attempt();
      return;
    }
    this.tried.clear();
    // An upstream that is reported as ready may not be eligible here, so that some time passes between two waits.
    const leftMs = waitedFromMs + this.roundMs - this.clock.nowMs();
    if (leftMs <= 0) this.attempt();
    else this.clock.after(leftMs, () => this.attempt());
  }

  private send(state: UpstreamState, route: Route): void {
    const { serving, reply, suspicion, record, retryCharge } = this;
    const target = this.target!;
    const nowMs = this.clock.nowMs();
    if (!retryCharge.send(serving.budgetOf(target.service), nowMs)) {
      this.budgetSpent();
      return;
    }
    const over = (end: AttemptEnd | { readonly type: 'answered' }) => this.attemptOver(end);
    const maySend = (chosenAtMs: Ms) => this.maySend(state, chosenAtMs);
    const options = { serving, suspicion, reply, record, route, target, state };
    this.tried.add(state.info.id);
    this.logRetry(state, nowMs);
    this.queue.sent(target, this.urgency.rank);
    this.caller.onSend?.();
    this.sentAtMs = nowMs;
    this.current = new Attempt({ ...options, maySend, over });
    this.current.begin(this.callTo(state));
  }

  /**
   * Tells with what the stream begins, so that its caller can take it up at any entry. Called once its first event is
   * there: earlier the request may still be sent to other software, and an entry that missed the correction would
   * continue the stream with what it was told first.
   */
  private streamBegins(origin: StreamOrigin): void {
    const { route, caller, serving } = this;
    if (!route.isResumable || this.resumed?.origin) return;
    const { id, model, deadlineMs = route.timeoutMs } = caller.request;
    serving.origins.record({ id, route, model, origin, keepMs: deadlineMs });
  }

  private logRetry({ info }: UpstreamState, nowMs: Ms): void {
    const waitedMs = this.retryCharge.waitedMs(nowMs);
    if (waitedMs === undefined) return;
    this.log.info('retry', {
      requestId: this.caller.request.id,
      service: info.service,
      upstream: info.id,
      waitedMs: Math.round(waitedMs),
      ...this.serving.budgetOf(info.service).usage(nowMs),
    });
  }

  /** Checks again, once a connection is open, what was checked when the upstream was chosen. */
  private maySend(state: UpstreamState, chosenAtMs: Ms): boolean {
    const { serving, admitted, clock } = this;
    const nowMs = clock.nowMs();
    const mayRun =
      nowMs < this.untilMs &&
      serving.mayWait &&
      this.fitsStop(this.route) &&
      this.suspicion.permission() === 'free' &&
      serving.decideAccess(admitted.caller.request)?.type === 'allowed' &&
      admitted.charge.covers(this.ranCount);
    const budget = serving.budgetOf(state.info.service);
    const isAccepted = mayRun && serving.fleet.maySend(state, this.target!, chosenAtMs, nowMs);
    if (isAccepted && this.retryCharge.send(budget, nowMs)) return true;
    this.log.info('request withheld', {
      requestId: admitted.caller.request.id,
      upstream: state.info.id,
      heldMs: Math.round(nowMs - chosenAtMs),
      listAgeMs: Math.round(serving.listAgeMs()),
      remainingMs: Math.round(this.untilMs - nowMs),
      mayRun,
    });
    return false;
  }

  private callTo(state: UpstreamState): Omit<Parameters<UpstreamLink['send']>[0], 'maySend'> {
    const { caller, serving, reply } = this;
    const { request } = caller;
    return {
      upstream: state.info.id,
      address: state.info.address,
      maxConnections: serving.connectionLimit(state.info.id),
      requestId: request.id,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      customer: this.admitted.customer?.id,
      authorization: serving.table!.access ? undefined : request.authorization,
      deadlineMs: this.untilMs - this.clock.nowMs(),
      priority: this.urgency.rank,
      resumeAfter: reply.lastEventId ?? request.resumeAfter,
      weightsVersion: this.origin?.weightsVersion,
    };
  }

  private attemptOver(end: AttemptEnd | { readonly type: 'answered' }): void {
    this.current = undefined;
    this.retryCharge.ended(end.type !== 'not-run' || end.wasSent);
    this.isUnconnected = end.type === 'not-run' && end.isUnconnected === true;
    if (this.isUnconnected) {
      this.attempt();
      return;
    }
    // A stream waits longer after each such end, and may have any number of them before its deadline.
    const isUnreachable = end.type === 'not-run' && end.isUnreachable === true;
    const isUncounted = isUnreachable && this.isTakingUp;
    if (isUnreachable) this.unreachedCount += 1;
    else {
      this.unreachedCount = 0;
      this.isUnreached = false;
      this.unplannedMs = 0;
    }
    if (end.type === 'not-run') this.refusedCount += isUncounted ? 0 : 1;
    else this.ranCount += 1;
    if (end.type === 'answered') {
      const tookMs = this.clock.nowMs() - this.sentAtMs;
      this.serving.answered(this.route, this.caller.request.model, tookMs);
      this.finish();
    } else this.decide(end);
  }

  private finish(): void {
    this.reply.end();
    this.close('answered');
  }

  private decide(end: AttemptEnd): void {
    const step = nextStep(this.progress(), end);
    const { serving, service } = this;
    const nowMs = this.clock.nowMs();
    const isRetry = step.type === 'again' || step.type === 'resume';
    if (this.reply.hasBegun) this.recordStreamBreak(step.type);
    if (isRetry && this.retryCharge.reserve(serving.budgetOf(service), nowMs)) {
      this.reply.setAside(end.type === 'failed');
      this.attempt();
      return;
    }
    if (isRetry) this.record.attempts.push('budget-spent');
    this.stopTrying(end);
  }

  private recordStreamBreak(next: ReturnType<typeof nextStep>['type']): void {
    const { reply, record, serving } = this;
    const { lastEventId } = reply;
    const position = lastEventId === undefined ? 'unknown' : 'known';
    serving.streamBroke(next, position);
    this.log.info('stream broke', {
      requestId: reply.requestId,
      next,
      lastEventId: lastEventId?.slice(0, MAX_LOGGED_ID_LENGTH),
      attempts: record.attempts,
    });
  }

  /** Ends the request: it was to be sent again, and the window's budget is spent. */
  private budgetSpent(): void {
    this.record.attempts.push('budget-spent');
    this.giveUp('upstream-failed', 'No upstream gave an answer.', RETRY_AFTER_MS);
  }

  private stopTrying(end: AttemptEnd): void {
    // A failure that follows a part of another answer is not an answer: the caller's stream is cut.
    if (end.type === 'failed' && !this.reply.hasBegun) this.finish();
    else this.giveUp('upstream-failed', 'No upstream gave an answer.', RETRY_AFTER_MS);
  }

  private giveUp(type: string, detail: string, retryAfterMs?: Ms): void {
    if (this.reply.useFallback()) {
      this.finish();
      return;
    }
    if (this.reply.hasBegun) {
      this.caller.cut();
      this.close('cut');
      return;
    }
    if (type === 'upstreams-full') this.serving.refusedFull(this.target!, this.isReturn);
    if (this.ranCount > 0) this.refuse(502, type, detail);
    else this.refuse(503, type, detail, retryAfterMs ?? RETRY_AFTER_MS);
  }

  private refuse(status: number, type: string, detail: string, retryAfterMs?: Ms): void {
    if (this.isOver) return;
    const executed: Refusal['executed'] = this.ranCount > 0 ? 'unknown' : 'no';
    this.caller.refuse({ status, type, detail, executed, retryAfterMs });
    this.close(type, retryAfterMs);
  }

  private deadlinePassed(): void {
    // After a stall the timer fires before the answer is read that may lie in the socket.
    if (this.current) afterReads(this.clock, () => this.timeout());
    else this.timeout();
  }

  private timeout(): void {
    this.abandon('timeout', 'No answer came in time.', RETRY_AFTER_MS);
  }

  /** Gives back the memory that is held of answers. Goes on if that is a failure that was set aside. */
  private evict(): void {
    if (this.isOver) return;
    this.reply.dropFallback();
    const { heldBytes } = this.reply;
    const { current } = this;
    if (heldBytes === 0 || !current) return;
    const detail = 'This entry has no memory left for the answer, of which nothing more has come.';
    current.logGivenUp(heldBytes);
    this.abandon('entry-memory', detail, RETRY_AFTER_MS, 502);
  }

  /** Ends the request now, with the attempt under way, which may have run. */
  private abandon(type: string, detail: string, retryAfterMs: Ms, status = 504): void {
    if (this.isOver) return;
    if (this.withdraw(type)) this.ranCount += 1;
    if (this.reply.hasBegun) {
      this.caller.cut();
      this.close(type);
      return;
    }
    if (this.ranCount > 0) this.refuse(status, type, detail);
    else this.refuse(503, type, detail, retryAfterMs);
  }

  /**
   * Cancels the attempt under way, if any, and records it in the request's log line. Returns true if it may have run.
   */
  private withdraw(outcome: string): boolean {
    const { current } = this;
    this.current = undefined;
    const mayHaveRun = current?.withdraw(outcome) ?? false;
    if (current) this.retryCharge.ended(mayHaveRun);
    return mayHaveRun;
  }

  private gone(): void {
    if (this.isOver) return;
    if (this.withdraw('gone')) this.ranCount += 1;
    this.close('gone');
  }

  private close(end: string, retryAfterMs?: Ms): void {
    if (this.isOver) return;
    this.isOver = true;
    this.reply.discard();
    this.endTargetWait();
    this.forgetTimer();
    this.queue.leave();
    this.suspicion.end();
    this.retryCharge.settle();
    this.admitted.charge.settle(this.ranCount);
    const { record } = this;
    const { request } = this.caller;
    const nowMs = this.clock.nowMs();
    const since = (atMs: Ms | undefined) =>
      atMs === undefined ? undefined : Math.round(atMs - request.arrivedAtMs);
    this.serving.ended(end, this.route, nowMs - request.arrivedAtMs);
    if (this.resumed) this.serving.takenUp(end);
    this.log.info('request', {
      requestId: request.id,
      end,
      route: this.route.name,
      version: this.serving.table?.version,
      customer: this.admitted.customer?.id,
      cost: this.admitted.charge.cost,
      service: this.target?.service,
      model: request.model,
      adapter: request.adapter,
      attempts: record.attempts,
      sentMs: since(record.firstSentAtMs),
      firstByteMs: since(record.firstByteAtMs),
      pacedMs: record.pacedMs,
      blockedMs: record.blockedMs,
      targetWaitMs: Math.round(record.targetWaitMs) || undefined,
      unconnectedCount: record.unconnectedCount || undefined,
      queuedMs: this.queue.waitedMs,
      listAgeMs: record.listAgeMs && Math.round(record.listAgeMs),
      longestGapMs: Math.round(record.longestGapMs),
      answerBytes: record.answerBytes,
      answerPieces: record.answerPieces,
      totalMs: since(nowMs),
      isReturn: this.isReturn,
      ...resumptionFields(request, record, this.resumed),
      ...this.suspicion.logFields(),
      retryAfterMs,
    });
    this.over();
  }
}

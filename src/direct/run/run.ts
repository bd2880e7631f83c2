import type { Clock, Ms, UpstreamId } from '../../base/index.js';
import { spreadRetryAfterMs } from '../../core/retryafter/index.js';
import { nextStep, type AttemptEnd, type Progress } from '../../core/delivery/index.js';
import { hash32 } from '../../core/hash/index.js';
import { plainWaitRules } from '../../core/plainwait/index.js';
import { promptPaceRules } from '../../core/promptpace/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import { pickService, requestUrgency, type Route } from '../../core/routetable/index.js';
import type { Log, UpstreamLink } from '../../port/index.js';
import type { Caller } from '../caller.js';
import { quotaRefusal, type Admitted } from '../intake/index.js';
import type { Refusal } from '../refusal.js';
import type { Block, Need, UpstreamState } from '../route/index.js';
import type { Serving } from '../serving.js';
import { Attempt } from './attempt.js';
import { Reply } from './reply.js';
import { roomWaitMs } from './roomwait.js';
import type { RunRecord } from './runrecord.js';
import { Suspicion } from './suspicion.js';

/** When a refused request may find a place again; a server's own queue empties within about this. */
const COME_BACK_MS = 250;
const MOST_COME_BACK_MS = 1000;
/** Another entry takes the request at once. */
const STOPPING_COME_BACK_MS = 20;
const LOOK_FOR_ROOM_MS = 20;
/** An upstream that was said to be ready may refuse; to be told of the same one again helps nobody. */
const MOST_SEEKS = 4;
/** One more than the largest hash. */
const HASH_RANGE = 2 ** 32;
/** Pause before upstreams that refused are asked once more; a few runs end within it. */
const ROUND_PAUSE_MS = 50;
/** A suspected request that runs elsewhere ends its upstream, or has run, within about this. */
const SUSPECT_COME_BACK_MS = 1000;
/** A run of the same request that ends well clears it for all; most take longer than this. */
const LOOK_AT_VERDICT_MS = 50;

/** What a request is told that the configuration stopped allowing while it waited. */
const WITHDRAWN = {
  'route-unknown': { end: 'route-withdrawn', detail: 'The route was withdrawn.' },
  'key-unknown': { end: 'key-withdrawn', detail: 'The key was withdrawn.' },
  outdated: { end: 'outdated', detail: 'The configuration that this entry knows may be outdated.' },
} as const;

/** What a request is told for which every upstream is blocked. */
const BLOCKED = {
  limited: {
    end: 'upstreams-limited',
    detail: 'Every upstream that could take the request has asked for fewer requests.',
  },
  paused: {
    end: 'upstreams-paused',
    detail: 'Every upstream that could take the request wants nothing from this entry for a time.',
  },
} as const;

/** Carries one caller's request through its attempts. */
export class Run {
  private readonly tried = new Set<UpstreamId>();

  private route: Route;

  private need: Need | undefined;

  /** The attempt under way. */
  private current: Attempt | undefined;

  private readonly reply: Reply;

  /** True once every upstream that could take it has been asked. */
  private hasComeRound = false;

  private isOver = false;

  /** The holder of orders has been asked where the need is held. */
  private hasSought = false;

  private seekCount = 0;

  private readonly suspicion: Suspicion;

  /** The caller has been refused before. */
  private isReturn = false;

  private ranCount = 0;

  private refusedCount = 0;

  private untilMs: Ms = Infinity;

  private forgetTimer = () => {};

  private readonly record: RunRecord = {
    attempts: [],
    firstSentAtMs: undefined,
    firstByteAtMs: undefined,
    longestGapMs: 0,
    pacedMs: 0,
    blockedMs: 0,
  };

  constructor(
    private readonly serving: Serving,
    private readonly admitted: Admitted,
    private readonly over: () => void,
  ) {
    this.route = admitted.route;
    this.reply = new Reply(admitted.caller);
    this.suspicion = new Suspicion(serving.poison, admitted.caller.request);
  }

  private get caller(): Caller {
    return this.admitted.caller;
  }

  private get urgency(): ReturnType<typeof requestUrgency> {
    return requestUrgency(this.route, this.admitted.customer, this.serving.table?.access);
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
    const { route } = this;
    const deadlineMs = Math.min(request.deadlineMs ?? Infinity, route.timeoutMs);
    this.untilMs = request.arrivedAtMs + deadlineMs;
    this.isReturn = serving.isReturn(route, request.deadlineMs);
    const waitMs = Math.max(0, this.untilMs - this.clock.nowMs());
    this.forgetTimer = this.clock.after(waitMs, () => this.timeout());
    caller.onFree(() => this.current?.resume());
    const service = pickService(route, request.id);
    serving.budgetOf(service).request(this.clock.nowMs());
    serving.arrived({ service, model: request.model, adapter: request.adapter });
    this.attempt();
  }

  /** The process is about to end: what is not at an upstream gets its final answer. */
  stopWaiting(): void {
    if (this.current || this.isOver) return;
    this.giveUp('stopping', 'This entry is about to end.', STOPPING_COME_BACK_MS);
  }

  /** The process ends: an answer of which nothing has come is not waited for, and a begun one breaks off. */
  endNow(): void {
    this.abandon('stopping', 'This entry ended before an answer came.');
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

  /** Sends the request on, if an upstream can take it. */
  private attempt(): void {
    if (this.isOver || this.isHeldBack()) return;
    const { caller, serving, clock } = this;
    const { request } = caller;
    // After a standstill this may be called by a timer that came before the one that ends the request's time.
    if (clock.nowMs() >= this.untilMs) {
      this.timeout();
      return;
    }
    // The configuration may have changed while the request waited.
    const judged = serving.judge(request);
    if (judged?.type !== 'allowed') {
      this.withdrawn(judged?.type ?? 'outdated');
      return;
    }
    const { route } = judged;
    this.route = route;
    if (!this.admitted.charge.covers(this.ranCount)) {
      void this.payAgain();
      return;
    }
    const service = pickService(route, request.id);
    this.need = { service, model: request.model, adapter: request.adapter };
    if (!serving.mayWait) {
      this.stopWaiting();
      return;
    }
    const nowMs = clock.nowMs();
    // A need without a model has nowhere else to go; another may be brought to an upstream that is there.
    const alsoLost = request.model === undefined || this.hasSought;
    const { isTrial } = this.suspicion;
    const asker = request.id;
    const choosing = { tried: this.tried, alsoLost, isTrial, asker };
    const state = serving.fleet.choose(this.need, nowMs, choosing);
    const block = state ? undefined : serving.fleet.blocked(this.need, nowMs, asker);
    if (state && this.isOverfull(state, nowMs)) this.waitForRoom();
    else if (state && this.isLineTooLong(state, nowMs)) this.waitInLine();
    else if (state && this.isToBePaced(state, nowMs)) this.pace();
    else if (state && !caller.isPresent) caller.whenPresent(() => this.attempt());
    else if (state) this.send(state, route);
    else if (block && !this.mayBeBrought()) this.waitForTurn(block);
    else if (this.isHeldByTried(nowMs)) this.tryAgainLater();
    else if (this.seekCount < MOST_SEEKS) this.seek();
    else this.tryAgainLater();
  }

  /** The configuration no longer allows what it did when the request came. */
  private withdrawn(type: keyof typeof WITHDRAWN): void {
    const { end, detail } = WITHDRAWN[type];
    const isUntouched = this.ranCount === 0 && !this.reply.hasBegun;
    if (type === 'key-unknown' && isUntouched) this.refuse(401, end, detail);
    else this.giveUp(end, detail);
  }

  /** One more run, or one whose payment lies too far back, takes from the quota before it is sent. */
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

  /** A request under which upstreams ended is not sent on, or only while it runs nowhere else. */
  private isHeldBack(): boolean {
    const standing = this.suspicion.standing();
    if (standing === 'free') return false;
    if (standing === 'ask-first') void this.tryAlone();
    else {
      const detail = 'Upstreams ended each time they ran this request: it is not sent to one.';
      this.giveUp('request-ends-upstreams', detail, this.suspicion.standsMs());
    }
    return true;
  }

  private async tryAlone(): Promise<void> {
    const mayRun = await this.suspicion.begin();
    if (this.isOver) {
      this.suspicion.end();
      return;
    }
    if (mayRun) {
      this.attempt();
      return;
    }
    if (!this.reply.hasBegun && this.mayWaitForRoom()) {
      this.clock.after(LOOK_AT_VERDICT_MS, () => this.attempt());
      return;
    }
    const detail = 'An upstream ended under this request; it runs elsewhere now, or may.';
    this.giveUp('request-suspected', detail, SUSPECT_COME_BACK_MS);
  }

  /** An engine with a queue that a request of this urgency should not join: it would be answered too late. */
  private isOverfull(state: UpstreamState, nowMs: Ms): boolean {
    if (this.need!.model === undefined || this.ranCount > 0) return false;
    // Another refusal would lose a caller that is back.
    const isUrgent = this.urgency.isFirst || this.isReturn;
    return this.serving.fleet.isFull(state, isUrgent, nowMs);
  }

  /** A plain upstream at which one more request would be answered too late. */
  private isLineTooLong(state: UpstreamState, nowMs: Ms): boolean {
    if (this.need!.model !== undefined) return false;
    const heldMs = nowMs - this.caller.request.arrivedAtMs;
    return !this.serving.fleet.mayJoin(state, heldMs, this.route.targetLatencyMs, nowMs);
  }

  /** Until somebody can be answered in time, or nobody waits there; then the caller is told to come back. */
  private waitInLine(): void {
    const { arrivedAtMs } = this.caller.request;
    const heldMs = this.clock.nowMs() - arrivedAtMs;
    const wholeMs = this.untilMs - arrivedAtMs;
    if (heldMs < wholeMs * plainWaitRules.lateWaitShare) {
      this.clock.after(plainWaitRules.recheckMs, () => this.attempt());
      return;
    }
    const retryAfterMs = spreadRetryAfterMs(wholeMs - heldMs, this.place());
    this.giveUp('upstreams-full', 'Every upstream has a line that is too long.', retryAfterMs);
  }

  /** A prompt waits a little, while the engine reads others, if the target leaves time for that. */
  private isToBePaced(state: UpstreamState, nowMs: Ms): boolean {
    const { kind, gapTargetMs, targetLatencyMs } = this.route;
    if (kind !== 'streaming' || this.reply.hasBegun) return false;
    const heldMs = nowMs - this.caller.request.arrivedAtMs;
    if (heldMs >= targetLatencyMs * promptPaceRules.holdShare) return false;
    return this.serving.fleet.isReading(state, gapTargetMs, nowMs);
  }

  private pace(): void {
    this.record.pacedMs += promptPaceRules.recheckMs;
    this.clock.after(promptPaceRules.recheckMs, () => this.attempt());
  }

  /** Waits as long as the target leaves time for; then the caller is told to come back. */
  private waitForRoom(): void {
    if (this.mayWaitForRoom()) {
      this.clock.after(LOOK_FOR_ROOM_MS, () => this.attempt());
      return;
    }
    this.giveUp(
      'upstreams-full',
      'Every upstream that could take the request is full.',
      this.comeBackMs(),
    );
  }

  /** An adapter is brought to another upstream within milliseconds. */
  private mayBeBrought(): boolean {
    return this.need!.adapter !== undefined && !this.hasSought;
  }

  /** Every upstream that could run it takes nothing now: in line while it can be in time, else told when to come. */
  private waitForTurn({ reason, opensInMs }: Block): void {
    const { serving, clock } = this;
    const need = this.need!;
    const nowMs = clock.nowMs();
    // A stream that has begun would be cut.
    const waitMs = this.reply.hasBegun ? this.untilMs - nowMs : this.roomLeftMs();
    const isKnown = Number.isFinite(opensInMs);
    if (waitMs <= 0 || (isKnown && opensInMs > waitMs)) {
      const afterMs = Math.max(COME_BACK_MS, isKnown ? opensInMs : 0);
      const { end, detail } = BLOCKED[reason];
      const spreadMs = this.place() * Math.min(afterMs, MOST_COME_BACK_MS);
      this.giveUp(end, detail, Math.round(afterMs + spreadMs));
      return;
    }
    const ask = {
      asker: this.caller.request.id,
      rank: this.urgency.rank,
      waitMs: Math.max(0, waitMs - rateRules.minUsableMs),
    };
    serving.fleet.waitFor(need, ask, nowMs);
    this.record.blockedMs += LOOK_FOR_ROOM_MS;
    serving.waiting(need, 1);
    clock.after(LOOK_FOR_ROOM_MS, () => {
      serving.waiting(need, -1);
      this.attempt();
    });
  }

  /** From 0 to 1: parts requests that would otherwise come back together. */
  private place(): number {
    return hash32(this.caller.request.id) / HASH_RANGE;
  }

  /** Whether its time still leaves room for waiting, rather than for another try. */
  private mayWaitForRoom(): boolean {
    return this.roomLeftMs() > 0;
  }

  private roomLeftMs(): Ms {
    const { arrivedAtMs } = this.caller.request;
    const targetMs = this.route.targetLatencyMs;
    const wholeMs = this.untilMs - arrivedAtMs;
    const waitMs = roomWaitMs({ targetMs, wholeMs, isReturn: this.isReturn });
    return waitMs - (this.clock.nowMs() - arrivedAtMs);
  }

  private isHeldByTried(nowMs: Ms): boolean {
    return this.serving.fleet.choose(this.need!, nowMs, { alsoLost: false }) !== undefined;
  }

  /** All that hold what it needs refused it or could not be reached: they may be asked once more. */
  private tryAgainLater(): void {
    if (this.ranCount > 0 || this.hasComeRound) {
      this.giveUp('upstreams-full', 'No upstream could take the request.', this.comeBackMs());
      return;
    }
    this.hasComeRound = true;
    this.tried.clear();
    this.clock.after(ROUND_PAUSE_MS, () => this.attempt());
  }

  /** A full upstream has room again when some of its requests have ended: longer for long streams. */
  private comeBackMs(): Ms {
    if (this.need?.model !== undefined) {
      return spreadRetryAfterMs(this.untilMs - this.clock.nowMs(), this.place());
    }
    return Math.max(COME_BACK_MS, Math.min(MOST_COME_BACK_MS, this.route.targetLatencyMs));
  }

  /** No upstream holds what the request needs: asks for it to be made ready. */
  private seek(): void {
    const need = this.need!;
    const { request } = this.caller;
    const nowMs = this.clock.nowMs();
    const waiter = {
      heldMs: nowMs - request.arrivedAtMs,
      remainingMs: this.untilMs - nowMs,
      targetMs: this.route.targetLatencyMs,
      place: this.place(),
    };
    this.hasSought = true;
    this.seekCount += 1;
    void this.serving.seek(need, waiter).then((found) => {
      if (this.isOver) return;
      if (found.type === 'ready') this.attempt();
      else this.giveUp(found.reason, found.detail, found.retryAfterMs);
    });
  }

  private send(state: UpstreamState, route: Route): void {
    const { serving, reply, suspicion, record } = this;
    const need = this.need!;
    const over = (end: AttemptEnd | { readonly type: 'answered' }) => this.attemptOver(end);
    const mayLeave = (chosenAtMs: Ms) => this.mayLeave(state, chosenAtMs);
    const options = { serving, suspicion, reply, record, route, need, state, mayLeave, over };
    this.tried.add(state.info.id);
    this.current = new Attempt(options);
    this.current.begin(this.callTo(state));
  }

  /** Whether what was asked when the upstream was chosen still holds: a connection may have opened since then. */
  private mayLeave(state: UpstreamState, chosenAtMs: Ms): boolean {
    const { serving, admitted, clock } = this;
    const nowMs = clock.nowMs();
    const mayRun =
      nowMs < this.untilMs &&
      serving.judge(admitted.caller.request)?.type === 'allowed' &&
      admitted.charge.covers(this.ranCount);
    if (mayRun && serving.fleet.mayEnter(state, chosenAtMs, nowMs)) return true;
    this.log.info('request withheld', {
      requestId: admitted.caller.request.id,
      upstream: state.info.id,
      heldMs: Math.round(nowMs - chosenAtMs),
      remainingMs: Math.round(this.untilMs - nowMs),
      mayRun,
    });
    return false;
  }

  private callTo(state: UpstreamState): Omit<Parameters<UpstreamLink['send']>[0], 'mayLeave'> {
    const { caller, serving, reply } = this;
    const { request } = caller;
    const spec = serving.table!.services.get(state.info.service);
    return {
      upstream: state.info.id,
      address: state.info.address,
      maxConnections: serving.connectionShare(spec?.maxConnections),
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
      weightsVersion: reply.hasBegun ? reply.weightsVersion : undefined,
    };
  }

  private attemptOver(end: AttemptEnd | { readonly type: 'answered' }): void {
    this.current = undefined;
    if (end.type === 'not-run') this.refusedCount += 1;
    else this.ranCount += 1;
    if (end.type === 'answered') this.finish();
    else this.decide(end);
  }

  private finish(): void {
    this.reply.end();
    this.close('answered');
  }

  private decide(end: AttemptEnd): void {
    const step = nextStep(this.progress(), end);
    const { serving, route, caller } = this;
    const nowMs = this.clock.nowMs();
    const service = pickService(route, caller.request.id);
    const costs = step.type === 'resume' || (step.type === 'again' && step.costs);
    if (costs && !serving.budgetOf(service).take(nowMs)) {
      this.record.attempts.push('budget-spent');
      this.stopTrying(end);
      return;
    }
    if (step.type === 'again' || step.type === 'resume') {
      this.reply.putAside(end.type === 'failed');
      this.attempt();
      return;
    }
    this.stopTrying(end);
  }

  private stopTrying(end: AttemptEnd): void {
    if (end.type === 'failed') this.finish();
    else this.giveUp('upstream-failed', 'No upstream gave an answer.', COME_BACK_MS);
  }

  private giveUp(type: string, detail: string, retryAfterMs?: Ms): void {
    if (this.reply.takeBack()) {
      this.finish();
      return;
    }
    if (this.reply.hasBegun) {
      this.caller.cut();
      this.close('cut');
      return;
    }
    if (this.ranCount > 0) this.refuse(502, type, detail);
    else this.refuse(503, type, detail, retryAfterMs ?? COME_BACK_MS);
  }

  private refuse(status: number, type: string, detail: string, retryAfterMs?: Ms): void {
    if (this.isOver) return;
    const executed: Refusal['executed'] = this.ranCount > 0 ? 'unknown' : 'no';
    this.caller.refuse({ status, type, detail, executed, retryAfterMs });
    this.close(type, retryAfterMs);
  }

  private timeout(): void {
    this.abandon('timeout', 'No answer came in time.');
  }

  /** Ends the request now, with an attempt that is under way; it may have run. */
  private abandon(type: string, detail: string): void {
    if (this.isOver) return;
    if (this.withdraw(type)) this.ranCount += 1;
    if (this.reply.hasBegun) {
      this.caller.cut();
      this.close(type);
      return;
    }
    if (this.ranCount > 0) this.refuse(504, type, detail);
    else this.refuse(503, type, detail, COME_BACK_MS);
  }

  /** Cancels the attempt under way, if there is one, and names it in the request's log line; true if it may have run. */
  private withdraw(outcome: string): boolean {
    const { current } = this;
    this.current = undefined;
    return current?.withdraw(outcome) ?? false;
  }

  private gone(): void {
    if (this.isOver) return;
    if (this.withdraw('gone')) this.ranCount += 1;
    this.close('gone');
  }

  private close(end: string, retryAfterMs?: Ms): void {
    if (this.isOver) return;
    this.isOver = true;
    this.forgetTimer();
    this.suspicion.end();
    this.admitted.charge.settle(this.ranCount);
    const { record } = this;
    const { request } = this.caller;
    const nowMs = this.clock.nowMs();
    const since = (atMs: Ms | undefined) =>
      atMs === undefined ? undefined : Math.round(atMs - request.arrivedAtMs);
    this.serving.ended(end, this.route, nowMs - request.arrivedAtMs);
    this.log.info('request', {
      requestId: request.id,
      end,
      route: this.route.name,
      version: this.serving.table?.version,
      customer: this.admitted.customer?.id,
      cost: this.admitted.charge.cost,
      service: this.need?.service,
      model: request.model,
      adapter: request.adapter,
      attempts: record.attempts,
      sentMs: since(record.firstSentAtMs),
      firstByteMs: since(record.firstByteAtMs),
      pacedMs: record.pacedMs,
      blockedMs: record.blockedMs,
      longestGapMs: Math.round(record.longestGapMs),
      totalMs: since(nowMs),
      isReturn: this.isReturn,
      ...this.suspicion.told(end === 'request-ends-upstreams'),
      retryAfterMs,
    });
    this.over();
  }
}

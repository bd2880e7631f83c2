import type { Ms, ServiceId, UpstreamId } from '../../base/index.js';
import { initialLimit, engineLimitRules, maxFill, onGap } from '../../core/enginelimit/index.js';
import { expectedAnswerMs, learnService, mayJoin } from '../../core/plainwait/index.js';
import { calmTime, isPrefilling, promptPaceRules } from '../../core/promptpace/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Block } from './block.js';
import type { Choosing } from './choosing.js';
import type { Gate } from './gate.js';
import { holds } from './holds.js';
import type { Need } from './need.js';
import { SendCount } from './sendcount.js';
import type { SlotAsk } from './slotask.js';
import type { UpstreamState } from './upstreamstate.js';

/** What became of an attempt, as far as it tells of its upstream. */
type Lesson = 'answered' | 'full' | 'missing' | 'failed' | 'unreachable';

/** Load that another availability zone's upstream must be below by, as a part of its slots. */
const ZONE_COST = 0.08;
/** The load header's word on others' requests is halved after this long without a newer one. */
const OTHERS_HALF_LIFE_MS = 1000;
/** Weight of one attempt in the share of failures. */
const FAILURE_WEIGHT = 0.15;
/** What having all that it bears costs: one that bears more goes first. */
const FULL_COST = 1;
/** A trial goes to the only place of a model only if there is no other for it: above all other costs together. */
const ONLY_PLACE_COST = 10;
/** What a share of failures of 1 costs, as a part of the slots. */
const FAILURE_COST = 2;
/**
 * An upstream that could not be reached, or that has started anew, is left alone for this long. The list tells
 * of its end after three missed entries, 3.6 s: until then 1,300 requests of a day went to ones that had crashed.
 */
const UNREACHABLE_MS = 1500;
/** An interval between an upstream's entries in the list, and the list's lag. */
const HINT_MS = 3000;
/** One that refused as full, in ms: about as long as a plain service needs for a few requests. */
const FULL_MS = 60;
const AVOID_MS: Readonly<Record<Lesson, Ms>> = {
  answered: 0,
  failed: 0,
  missing: 0,
  full: FULL_MS,
  unreachable: UNREACHABLE_MS,
};

/**
 * An engine that crashes without a word leaves its connections open: streams there stand still, and what is sent
 * there until the list tells of it, 3.6 s later, is lost. Twice the longest pause in time is no burst of prompts;
 * one stream alone may have been preempted.
 */
const SILENT_STREAMS = 2;
const SILENT_TARGETS = 2;
const LEAST_SILENT_MS = 500;

/** Rank of a request that does not wait. */
const LEAST_URGENT = 9;

const OPEN: Gate = { blockOf: () => undefined, isLetIn: () => true, wanted() {}, enter() {} };

/** The upstreams that this entry may choose from. */
export class Fleet {
  private readonly states = new Map<UpstreamId, UpstreamState>();

  private readonly byService = new Map<ServiceId, Set<UpstreamState>>();

  private awakeSinceMs: Ms = -Infinity;

  constructor(
    private readonly availabilityZone: string,
    private readonly gate: Gate = OPEN,
  ) {}

  put(info: Upstream): void {
    const known = this.states.get(info.id);
    if (known) {
      known.info = info;
      return;
    }
    const state: UpstreamState = {
      info,
      inFlight: 0,
      sent: new SendCount(rateRules.windowMs),
      othersLoad: 0,
      othersAtMs: 0,
      failureShare: 0,
      avoidUntilMs: 0,
      lostAtMs: -Infinity,
      answeredAtMs: -Infinity,
      failedAtMs: -Infinity,
      readingCount: 0,
      streamCount: 0,
      eventAtMs: -Infinity,
      calmGapMs: Infinity,
      calmFirstMs: Infinity,
      gapTargetMs: Infinity,
      serviceMs: Infinity,
      limit: initialLimit(),
      hints: new Map(),
    };
    this.states.set(info.id, state);
    const group = this.byService.get(info.service);
    if (group) group.add(state);
    else this.byService.set(info.service, new Set([state]));
  }

  remove(id: UpstreamId): void {
    const state = this.states.get(id);
    if (!state) return;
    this.states.delete(id);
    this.byService.get(state.info.service)?.delete(state);
  }

  get(id: UpstreamId): UpstreamState | undefined {
    return this.states.get(id);
  }

  all(): Iterable<UpstreamState> {
    return this.states.values();
  }

  of(service: ServiceId): Iterable<UpstreamState> {
    return this.byService.get(service) ?? [];
  }

  /**
   * The best upstream for a need; undefined if none can be chosen. The gate has let in that one request at that moment:
   * where a connection has to be opened, `mayEnter` is asked once more right before the send.
   */
  choose(need: Need, nowMs: Ms, choosing: Choosing = {}): UpstreamState | undefined {
    const { tried, alsoLost = true, isTrial = false, asker } = choosing;
    let best: UpstreamState | undefined;
    let bestCost = Infinity;
    let blocked: UpstreamState | undefined;
    let blockedCost = Infinity;
    for (const state of this.of(need.service)) {
      if (state.info.isLeaving || tried?.has(state.info.id) || !holds(state, need, nowMs)) continue;
      if (!alsoLost && this.isLost(state, nowMs)) continue;
      const risk = isTrial && this.isOnlyPlace(state, nowMs) ? ONLY_PLACE_COST : 0;
      const cost = this.cost(state, nowMs) + risk;
      if (cost >= bestCost) continue;
      if (this.gate.blockOf(state.info, nowMs, asker)) {
        if (cost < blockedCost) [blocked, blockedCost] = [state, cost];
        continue;
      }
      best = state;
      bestCost = cost;
    }
    if (blocked && best && blockedCost < bestCost) this.wantNext(blocked, nowMs);
    return best;
  }

  /** Why no upstream that holds what is needed gets a request now: of several, the one that opens first. */
  blocked(need: Need, nowMs: Ms, asker: string): Block | undefined {
    let first: Block | undefined;
    for (const { info } of this.holding(need, nowMs)) {
      const block = this.gate.blockOf(info, nowMs, asker);
      if (!block) return undefined;
      if (!first || block.opensInMs < first.opensInMs) first = block;
    }
    return first;
  }

  /** A request can wait for one of those that hold what is needed. */
  waitFor(need: Need, ask: SlotAsk, nowMs: Ms): void {
    const upstreams = [...this.holding(need, nowMs)].map(({ info }) => info);
    this.gate.wanted(upstreams, ask, nowMs);
  }

  /** Whether a request for which it was chosen at `chosenAtMs` may still be sent there. */
  mayEnter({ info }: UpstreamState, chosenAtMs: Ms, nowMs: Ms): boolean {
    const known = this.states.get(info.id)?.info;
    return known !== undefined && !known.isLeaving && this.gate.isLetIn(known, chosenAtMs, nowMs);
  }

  /** A request is sent there. */
  enter(state: UpstreamState, nowMs: Ms, asker: string): void {
    this.gate.enter(state.info, nowMs, asker);
    state.sent.add(nowMs);
  }

  /** Requests of this entry that were sent there in the window of a limit. */
  sentLately(id: UpstreamId, nowMs: Ms): number {
    return this.states.get(id)?.sent.sum(nowMs) ?? 0;
  }

  /** One that would have been the best: the next request may go there, if nobody waits for it. */
  private wantNext({ info }: UpstreamState, nowMs: Ms): void {
    this.gate.wanted([info], { rank: LEAST_URGENT, waitMs: 0 }, nowMs);
  }

  /** Upstreams that could run it and do not leave. */
  private *holding(need: Need, nowMs: Ms): Iterable<UpstreamState> {
    for (const state of this.of(need.service)) {
      if (!state.info.isLeaving && holds(state, need, nowMs)) yield state;
    }
  }

  /** Whether it holds a model that no other upstream does: its end would leave that model nowhere. */
  private isOnlyPlace(state: UpstreamState, nowMs: Ms): boolean {
    const { service, models } = state.info;
    for (const model of models.keys()) {
      const need = { service, model };
      const others = [...this.of(service)].filter((other) => other !== state);
      if (!others.some((other) => !other.info.isLeaving && holds(other, need, nowMs))) return true;
    }
    return false;
  }

  learn(state: UpstreamState, lesson: Lesson, need: Need, nowMs: Ms): void {
    const mark = state;
    const failed = lesson === 'failed' || lesson === 'unreachable' ? 1 : 0;
    if (failed === 1) mark.failedAtMs = nowMs;
    if (lesson === 'answered') Object.assign(mark, { answeredAtMs: nowMs, lostAtMs: -Infinity });
    // After a failure, one that lacks a model which the list says it holds has started anew.
    const isOtherStart =
      lesson === 'missing' && need.adapter === undefined && state.failedAtMs > state.answeredAtMs;
    if (lesson === 'unreachable' || isOtherStart) mark.lostAtMs = nowMs;
    if (lesson !== 'full' && lesson !== 'missing') {
      mark.failureShare += (failed - state.failureShare) * FAILURE_WEIGHT;
    }
    const avoidMs = AVOID_MS[lesson];
    mark.avoidUntilMs = Math.max(state.avoidUntilMs, nowMs + avoidMs);
    if (lesson === 'missing') this.hint(state, need, false, nowMs);
  }

  isLost(state: UpstreamState, nowMs: Ms): boolean {
    return nowMs - state.lostAtMs < UNREACHABLE_MS || this.isSilent(state, nowMs);
  }

  /** This process stood still until now: that nothing came meanwhile says nothing of upstreams. */
  woke(nowMs: Ms): void {
    this.awakeSinceMs = nowMs;
  }

  /** Whether several streams run there and none has had an event for longer than their pauses may last. */
  private isSilent({ streamCount, eventAtMs, gapTargetMs }: UpstreamState, nowMs: Ms): boolean {
    if (streamCount < SILENT_STREAMS) return false;
    const silentMs = Math.max(LEAST_SILENT_MS, gapTargetMs * SILENT_TARGETS);
    return nowMs - Math.max(eventAtMs, this.awakeSinceMs) > silentMs;
  }

  /** Upstreams that this entry finds lost now. */
  lost(nowMs: Ms): UpstreamId[] {
    const ids: UpstreamId[] = [];
    for (const state of this.states.values()) {
      if (this.isLost(state, nowMs)) ids.push(state.info.id);
    }
    return ids;
  }

  /** Notes what was found out about a model or adapter, until the list can have told of it. */
  hint(state: UpstreamState, { model, adapter }: Need, isThere: boolean, nowMs: Ms): void {
    if (model === undefined) return;
    const hint = { isThere, untilMs: nowMs + HINT_MS };
    if (adapter !== undefined) state.hints.set(`${model}/${adapter}`, hint);
    if (adapter === undefined || isThere) state.hints.set(model, hint);
  }

  learnLoad(state: UpstreamState, load: { running: number; waiting: number }, nowMs: Ms): void {
    const othersLoad = Math.max(0, load.running + load.waiting - state.inFlight);
    Object.assign(state, { othersLoad, othersAtMs: nowMs });
  }

  /** The first event of a stream came this long after its request had been sent there. */
  learnFirst(state: UpstreamState, tookMs: Ms, nowMs: Ms): void {
    const calmFirstMs = calmTime(state.calmFirstMs, tookMs);
    Object.assign(state, { eventAtMs: nowMs, calmFirstMs });
  }

  /** An event of a stream came this long after the one before. Returns true if that cut the engine's limit. */
  learnGap(state: UpstreamState, gapMs: Ms, targetMs: Ms, nowMs: Ms): boolean {
    const mark = state;
    mark.eventAtMs = nowMs;
    mark.gapTargetMs = targetMs;
    mark.calmGapMs = calmTime(state.calmGapMs, gapMs);
    const before = state.limit;
    mark.limit = onGap(before, { gapMs, targetMs, fill: this.fill(state, nowMs) }, nowMs);
    return mark.limit !== before;
  }

  /** An answer of a plain upstream began this long after its request was sent, with so many there before it. */
  learnService(state: UpstreamState, tookMs: Ms, load: number): void {
    const mark = state;
    const { slots } = state.info;
    mark.serviceMs = learnService(state.serviceMs, { tookMs, load, slots });
  }

  /** Whether a request to a plain upstream can be in time there, or makes nobody late. */
  mayJoin(state: UpstreamState, heldMs: Ms, targetMs: Ms, nowMs: Ms): boolean {
    const load = this.load(state.info.id, nowMs);
    const { slots } = state.info;
    const { serviceMs } = state;
    const takesMs = expectedAnswerMs({ load, slots, serviceMs });
    return mayJoin({ heldMs, targetMs, expectedMs: takesMs, load, slots });
  }

  /** Whether an engine has all that it bears; the most urgent requests may still go there. */
  isFull(state: UpstreamState, isUrgent: boolean, nowMs: Ms): boolean {
    const share = isUrgent ? engineLimitRules.urgentFactor : 1;
    return this.fill(state, nowMs) > maxFill(state.limit, nowMs) * share;
  }

  /** How many prompts the engines of a service read in the time of a pause that is in time, as far as is known. */
  promptsPerPause(service: ServiceId): number | undefined {
    let sum = 0;
    let count = 0;
    for (const { calmFirstMs, gapTargetMs } of this.of(service)) {
      if (!Number.isFinite(calmFirstMs) || !Number.isFinite(gapTargetMs)) continue;
      sum += gapTargetMs / Math.max(1, calmFirstMs);
      count += 1;
    }
    return count === 0 ? undefined : sum / count;
  }

  /** Whether an engine is reading prompts now, as far as this entry sees. */
  isReading(state: UpstreamState, gapTargetMs: Ms, nowMs: Ms): boolean {
    if (this.awakeSinceMs <= state.eventAtMs) return isPrefilling(state, gapTargetMs, nowMs);
    return isPrefilling({ ...state, eventAtMs: this.awakeSinceMs }, gapTargetMs, nowMs);
  }

  /** Part of an upstream's slots that is taken; above 1 requests wait there. */
  fill(state: UpstreamState, nowMs: Ms): number {
    return (state.inFlight + this.others(state, nowMs)) / state.info.slots;
  }

  /** Requests at an upstream, as far as known here. */
  load(id: UpstreamId, nowMs: Ms): number {
    const state = this.states.get(id);
    return state ? state.inFlight + this.others(state, nowMs) : 0;
  }

  /** Load as a part of the slots, with what speaks against the upstream. */
  cost(state: UpstreamState, nowMs: Ms): number {
    const { info } = state;
    const load = (state.inFlight + this.others(state, nowMs) + 1) / info.slots;
    const zone = info.availabilityZone === this.availabilityZone ? 0 : ZONE_COST;
    const avoided = state.avoidUntilMs > nowMs ? 1 + FAILURE_COST : 0;
    const full = this.isFull(state, false, nowMs) ? FULL_COST : 0;
    const isBusy = this.isReading(state, state.gapTargetMs, nowMs);
    return (
      full +
      (isBusy ? promptPaceRules.prefillCost : 0) +
      load +
      zone +
      state.failureShare * FAILURE_COST +
      avoided
    );
  }

  private others({ othersLoad, othersAtMs }: UpstreamState, nowMs: Ms): number {
    return othersLoad * 0.5 ** ((nowMs - othersAtMs) / OTHERS_HALF_LIFE_MS);
  }
}

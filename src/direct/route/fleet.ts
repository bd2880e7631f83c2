import type { Ms, ServiceId, UpstreamId } from '../../base/index.js';
import {
  averagePaceAt,
  initialPace,
  onSharedPercent,
  onWorkPercent,
  paceAt,
} from '../../core/hostpace/index.js';
import {
  initialEjection,
  onEndless,
  onRejected,
  onSound,
  probe,
  type EjectionState,
} from '../../core/ejection/index.js';
import { initialLimit, engineLimitRules, maxFill, onGap } from '../../core/enginelimit/index.js';
import { isLoadAware, type LoadAwareSetting } from '../../core/loadmode/index.js';
import { expectedAnswerMs, learnService, mayJoin } from '../../core/plainwait/index.js';
import { isContinuable, type StreamOrigin } from '../../core/origin/index.js';
import { unloadedTimeMs, isPrefilling, promptPaceRules } from '../../core/promptpace/index.js';
import {
  sharedLoadRules,
  type UpstreamLoad,
  type UpstreamPace,
} from '../../core/sharedload/index.js';
import { rateRules } from '../../core/sharedrate/index.js';
import {
  choosePlace,
  enginePlaces,
  forecast,
  upstreamForecastRules,
} from '../../core/upstreamforecast/index.js';
import type { Upstream } from '../../core/upstreams/index.js';
import type { Block } from './block.js';
import type { ChoiceOptions } from './choiceoptions.js';
import type { Gate } from './gate.js';
import { has } from './has.js';
import { mayServe } from './mayserve.js';
import type { FleetCandidate } from './fleetcandidate.js';
import { newCandidate } from './newcandidate.js';
import type { Target } from './target.js';
import { SendCounter } from './sendcounter.js';
import type { SlotWaiter } from './slotwaiter.js';
import type { UpstreamState } from './upstreamstate.js';

/** Outcome of an attempt, as far as it is evidence on the upstream. */
type Outcome = 'answered' | 'full' | 'missing' | 'failed' | 'rejected' | 'unreachable';

/** Load and pace as an upstream reports them in an answer. */
interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly workPercent?: number;
}

/** An upstream in another availability zone is preferred only if its load is lower by this fraction of its slots. */
const ZONE_COST = 0.08;
/** The load of other entries, as reported in a load header, decays by half in this time until a newer report. */
const OTHERS_HALF_LIFE_MS = 1000;
const PERCENT = 100;
/** Weight of one attempt in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Cost of an upstream that has reached its limit, so that others are preferred. */
const FULL_COST = 1;
/**
 * Cost, for a trial, of an upstream that has the only replica of a model. It exceeds all other costs together, so that
 * such an upstream is chosen only if there is no other.
 */
const ONLY_REPLICA_COST = 10;
/** Cost of a failure share of 1, as a fraction of the slots. */
const FAILURE_COST = 2;
/** Risks of a choice in load-aware services: a candidate is chosen only if there is none with less. */
const AVOIDED_RISK = 1;
const ONLY_REPLICA_RISK = 2;
/** Multiplier, increment and modulus of a linear congruential generator (Numerical Recipes). */
const SEED_FACTOR = 1_664_525;
const SEED_STEP = 1_013_904_223;
const SEED_RANGE = 2 ** 32;
/**
 * An upstream that could not be reached, or that has restarted, is avoided for this long. The list shows a crash only
 * after three missed renewals (3.6 s); without this rule 1,300 requests of one day went to crashed upstreams.
 */
const UNREACHABLE_MS = 1500;
/** One renewal interval of an upstream's list record, and the propagation delay of the list. */
const HINT_MS = 3000;
/** Avoidance time of an upstream that refused as full: about as long as a plain service needs for a few requests. */
const FULL_MS = 60;
const AVOID_MS: Readonly<Record<Outcome, Ms>> = {
  answered: 0,
  failed: 0,
  rejected: 0,
  missing: 0,
  full: FULL_MS,
  unreachable: UNREACHABLE_MS,
};

/**
 * An engine may crash without closing its connections: its streams stall, and requests sent there until the list shows
 * the crash, 3.6 s later, are lost. A silence of twice the longest allowed gap is not explained by a burst
 * of prompts. At least two streams have to be silent, because a single one may have been preempted.
 */
const SILENT_STREAMS = 2;
const SILENT_GAPS = 2;
const MIN_SILENT_MS = 500;

/** Rank of a slot that no request waits for. */
const LEAST_URGENT = 9;

const OPEN_GATE: Gate = {
  blockOf: () => undefined,
  maySend: () => true,
  wanted() {},
  useSlot() {},
};

/** Returns the seed of another draw for the same request. */
function redraw(seed: number): number {
  return (seed * SEED_FACTOR + SEED_STEP) % SEED_RANGE;
}

/** The upstreams that this entry may choose from. */
export class Fleet {
  private readonly states = new Map<UpstreamId, UpstreamState>();

  /** Upstreams out of service because their answers were rejected; usually none. */
  private readonly ejected = new Set<UpstreamState>();

  private readonly byService = new Map<ServiceId, Set<UpstreamState>>();

  /** Reused from choice to choice, because entries with a small part of a core make hundreds of them per second. */
  private readonly candidates: FleetCandidate[] = [];

  private candidateCount = 0;

  private resumedAtMs: Ms = -Infinity;

  private loadAware: LoadAwareSetting = 'off';

  private mayBegin: (upstream: Upstream) => boolean = () => true;

  /** Services with an upstream that has reported its pace. */
  private readonly pacedServices = new Set<ServiceId>();

  /** When the last sums over all entries were requested; -Infinity if there were none. */
  private sharedAtMs: Ms = -Infinity;

  constructor(
    private readonly availabilityZone: string,
    private readonly gate: Gate = OPEN_GATE,
  ) {}

  /** Sets at which upstreams streams may begin that are taken up later. Called again whenever that has changed. */
  setStreamGate(mayBegin: (upstream: Upstream) => boolean): void {
    this.mayBegin = mayBegin;
    for (const state of this.states.values()) state.mayBeginStreams = mayBegin(state.info);
  }

  /** Sets what decides, besides the reports of upstreams, which services are served load-aware. */
  setLoadMode(setting: LoadAwareSetting): void {
    this.loadAware = setting;
  }

  /** Returns true if a service is served with queues, forecasts and shared loads. */
  isLoadAware(service: ServiceId): boolean {
    const { loadAware: setting, pacedServices } = this;
    return isLoadAware({ setting, reportsPace: pacedServices.has(service) });
  }

  /** Returns true if some service is served with queues, forecasts and shared loads. */
  hasLoadAware(): boolean {
    for (const service of this.byService.keys()) if (this.isLoadAware(service)) return true;
    return false;
  }

  /** Returns how long work takes at an upstream now, as a factor of the usual time. */
  paceOf(state: UpstreamState, nowMs: Ms): number {
    return paceAt(state.pace, nowMs);
  }

  /** Returns how long work takes at an upstream on average over the last seconds, for decisions that last. */
  averagePaceOf(state: UpstreamState, nowMs: Ms): number {
    return averagePaceAt(state.pace, nowMs);
  }

  put(info: Upstream): void {
    const known = this.states.get(info.id);
    if (known?.info.service === info.service) {
      known.info = info;
      known.mayBeginStreams = this.mayBegin(info);
      return;
    }
    // One of its records is by another writer: what was learned under the other service does not hold.
    this.remove(info.id);
    const state: UpstreamState = {
      info,
      mayBeginStreams: this.mayBegin(info),
      inFlight: 0,
      sent: new SendCounter(rateRules.windowMs),
      othersLoad: 0,
      othersAtMs: 0,
      sharedLoad: 0,
      pace: initialPace(),
      failureShare: 0,
      avoidUntilMs: 0,
      lostAtMs: -Infinity,
      answeredAtMs: -Infinity,
      failedAtMs: -Infinity,
      prefillCount: 0,
      streamCount: 0,
      eventAtMs: -Infinity,
      unloadedGapMs: Infinity,
      unloadedFirstEventMs: Infinity,
      usualFirstEventMs: Infinity,
      gapTargetMs: Infinity,
      serviceMs: Infinity,
      limit: initialLimit(),
      ejection: initialEjection(),
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
    this.ejected.delete(state);
    this.byService.get(state.info.service)?.delete(state);
  }

  get(id: UpstreamId): UpstreamState | undefined {
    return this.states.get(id);
  }

  all(): Iterable<UpstreamState> {
    return this.states.values();
  }

  upstreamsOf(service: ServiceId): Iterable<UpstreamState> {
    return this.byService.get(service) ?? [];
  }

  /**
   * Returns the best upstream for a target; undefined if none can be chosen. The gate has admitted the request for this
   * moment only: where a connection has to be opened first, `maySend` has to be asked again right before the send.
   */
  choose(target: Target, nowMs: Ms, choosing: ChoiceOptions = {}): UpstreamState | undefined {
    if (this.ejected.size > 0) {
      const probed = this.chooseProbe(target, nowMs, choosing);
      if (probed) return probed;
    }
    const chosen = this.isLoadAware(target.service)
      ? this.chooseByForecast(target, nowMs, choosing)
      : this.chooseByCost(target, nowMs, choosing);
    if (chosen || this.ejected.size === 0) return chosen;
    // One in service that was tried already may have been full: an attempt there is worth more than one here.
    const untried = { includesLost: choosing.includesLost };
    if (this.hasInService(target, nowMs, untried)) return undefined;
    return this.chooseEjected(target, nowMs, choosing);
  }

  /** Returns an ejected upstream for which the request is a probe that is due. */
  private chooseProbe(
    target: Target,
    nowMs: Ms,
    choosing: ChoiceOptions,
  ): UpstreamState | undefined {
    const { tried, isTrial = false, probes, requestId, targetMs } = choosing;
    if (probes === undefined || isTrial || (tried && tried.size > 0)) return undefined;
    for (const state of this.ejected) {
      if (!probe.isDue(state.ejection, probes === 'repeatable', nowMs)) continue;
      if (!this.isCandidate(state, target, nowMs, choosing)) continue;
      // It can be sent at once, so that nothing waits for an upstream that may be faulty.
      const isAvoided = state.avoidUntilMs > nowMs || this.isLost(state, nowMs);
      if (isAvoided || this.isFull(state, false, nowMs, targetMs)) continue;
      if (!this.gate.blockOf(state.info, nowMs, requestId)) return state;
    }
    return undefined;
  }

  /** Returns the least recently rejected of the ejected upstreams, preferably one with a free slot. */
  chooseEjected(target: Target, nowMs: Ms, choosing: ChoiceOptions): UpstreamState | undefined {
    let best: UpstreamState | undefined;
    let isBestFull = true;
    for (const state of this.ejected) {
      if (!this.isCandidate(state, target, nowMs, choosing)) continue;
      if (this.gate.blockOf(state.info, nowMs, choosing.requestId)) continue;
      const isFull = this.load(state.info.id, nowMs) >= state.info.slots;
      const isEarlier = !best || state.ejection.rejectedAtMs < best.ejection.rejectedAtMs;
      const isBetter = isFull === isBestFull ? isEarlier : isBestFull;
      if (best && !isBetter) continue;
      best = state;
      isBestFull = isFull;
    }
    return best;
  }

  /** Returns true if an upstream that is not ejected could be chosen, now or once it is not blocked. */
  private hasInService(target: Target, nowMs: Ms, choosing: ChoiceOptions): boolean {
    for (const state of this.upstreamsOf(target.service)) {
      if (!state.ejection.isEjected && this.isCandidate(state, target, nowMs, choosing)) {
        return true;
      }
    }
    return false;
  }

  /** Returns true if a request may be sent to an upstream, as far as the target and its own attempts are concerned. */
  private isCandidate(
    state: UpstreamState,
    target: Target,
    nowMs: Ms,
    { tried, includesLost = true }: ChoiceOptions,
  ): boolean {
    const { info } = state;
    if (info.service !== target.service || info.isLeaving || tried?.has(info.id)) return false;
    return has(state, target, nowMs) && (includesLost || !this.isLost(state, nowMs));
  }

  /** Chooses the upstream with the least cost. */
  private chooseByCost(
    target: Target,
    nowMs: Ms,
    choosing: ChoiceOptions,
  ): UpstreamState | undefined {
    const { tried, includesLost = true, isTrial = false, requestId } = choosing;
    let best: UpstreamState | undefined;
    let bestCost = Infinity;
    let bestBlocked: UpstreamState | undefined;
    let blockedCost = Infinity;
    for (const state of this.upstreamsOf(target.service)) {
      if (state.ejection.isEjected) continue;
      if (state.info.isLeaving || tried?.has(state.info.id) || !has(state, target, nowMs)) continue;
      if (!includesLost && this.isLost(state, nowMs)) continue;
      const risk = isTrial && this.hasOnlyReplica(state, nowMs) ? ONLY_REPLICA_COST : 0;
      const cost = this.cost(state, nowMs) + risk;
      if (cost >= bestCost) continue;
      if (this.gate.blockOf(state.info, nowMs, requestId)) {
        if (cost < blockedCost) [bestBlocked, blockedCost] = [state, cost];
        continue;
      }
      best = state;
      bestCost = cost;
    }
    if (bestBlocked && best && blockedCost < bestCost) this.requestNextSlot(bestBlocked, nowMs);
    return best;
  }

  /** Chooses for a load-aware service: by forecasts, and spread over the upstreams with a free slot. */
  private chooseByForecast(
    target: Target,
    nowMs: Ms,
    choosing: ChoiceOptions,
  ): UpstreamState | undefined {
    const { tried, requestId, targetMs = Infinity, isUrgent = false, seed = 0 } = choosing;
    this.collect(target, nowMs, choosing);
    const { candidates } = this;
    // A retry draws anew: the upstream next to one that refused would otherwise get all of its retries.
    let draw = seed;
    for (let count = tried?.size ?? 0; count > 0; count -= 1) draw = redraw(draw);
    const isEngine = target.model !== undefined;
    const pick = () =>
      choosePlace({ candidates, count: this.candidateCount, targetMs }, draw)?.state;
    let state = pick();
    if (state && this.gate.blockOf(state.info, nowMs, requestId)) {
      const blocked = state;
      this.dropBlocked(nowMs, requestId);
      draw = redraw(draw);
      state = pick();
      if (state) this.requestNextSlot(blocked, nowMs);
    }
    // Slots are used first; the most urgent requests exceed them only if none is free.
    if (!state || !isEngine || !isUrgent || !this.isFull(state, false, nowMs, choosing.targetMs)) {
      return state;
    }
    for (let at = 0; at < this.candidateCount; at += 1) {
      const candidate = candidates[at]!;
      candidate.slots *= upstreamForecastRules.urgentFactor;
      this.applyForecast(candidate);
    }
    return pick();
  }

  /** Collects the upstreams that a request may be sent to. */
  private collect(target: Target, nowMs: Ms, choosing: ChoiceOptions): void {
    const { tried, includesLost = true, isTrial = false, targetMs = 0 } = choosing;
    const isEngine = target.model !== undefined;
    this.candidateCount = 0;
    for (const state of this.upstreamsOf(target.service)) {
      if (state.ejection.isEjected) continue;
      if (state.info.isLeaving || tried?.has(state.info.id) || !has(state, target, nowMs)) continue;
      const isLost = this.isLost(state, nowMs);
      if (isLost && !includesLost) continue;
      if (this.candidateCount === this.candidates.length) this.candidates.push(newCandidate(state));
      const candidate = this.candidates[this.candidateCount]!;
      this.candidateCount += 1;
      candidate.state = state;
      candidate.isOwnZone = state.info.availabilityZone === this.availabilityZone;
      candidate.isPrefilling = this.isPrefilling(state, state.gapTargetMs, nowMs);
      candidate.risk = isLost || state.avoidUntilMs > nowMs ? AVOIDED_RISK : 0;
      if (isTrial && this.hasOnlyReplica(state, nowMs)) candidate.risk += ONLY_REPLICA_RISK;
      candidate.load = this.load(state.info.id, nowMs);
      candidate.slots = isEngine ? this.placesOf(state, false, targetMs, nowMs) : state.info.slots;
      candidate.pace = this.paceOf(state, nowMs);
      candidate.unloadedFirstMs = isEngine ? state.usualFirstEventMs : state.serviceMs;
      candidate.serviceMs = state.serviceMs;
      candidate.prefillCount = isEngine ? state.prefillCount : 0;
      this.applyForecast(candidate);
    }
  }

  private applyForecast(candidate: FleetCandidate): void {
    const draft = candidate;
    forecast(candidate, candidate);
    // An upstream that fails often gets requests only if no other has a free slot.
    draft.freePlaces *= Math.max(0, 1 - candidate.state.failureShare * FAILURE_COST);
  }

  /** Removes the candidates that may not be sent a request now. */
  private dropBlocked(nowMs: Ms, requestId: string | undefined): void {
    const { candidates } = this;
    let count = 0;
    for (let at = 0; at < this.candidateCount; at += 1) {
      const candidate = candidates[at]!;
      if (this.gate.blockOf(candidate.state.info, nowMs, requestId)) continue;
      candidates[at] = candidates[count]!;
      candidates[count] = candidate;
      count += 1;
    }
    this.candidateCount = count;
  }

  /** Returns how many streams an engine of a load-aware service may take. */
  private placesOf(state: UpstreamState, isUrgent: boolean, targetMs: Ms, nowMs: Ms): number {
    const { info, limit } = state;
    const capacity = { pace: this.paceOf(state, nowMs), maxFill: maxFill(limit, nowMs) };
    return enginePlaces({ slots: info.slots, ...capacity, targetMs, isUrgent });
  }

  /**
   * Returns why no upstream that holds the target may be sent a request now: the block that ends first. One that counts
   * as lost cannot be chosen either unless `includesLost` is set.
   */
  blockFor(target: Target, nowMs: Ms, requestId: string, includesLost = true): Block | undefined {
    let first: Block | undefined;
    const choosing = { includesLost };
    const skipsEjected = this.ejected.size > 0 && this.hasInService(target, nowMs, choosing);
    for (const state of this.holding(target, nowMs)) {
      if (skipsEjected && state.ejection.isEjected) continue;
      if (!includesLost && this.isLost(state, nowMs)) continue;
      const block = this.gate.blockOf(state.info, nowMs, requestId);
      if (!block) return undefined;
      if (!first || block.opensInMs < first.opensInMs) first = block;
    }
    return first;
  }

  /** Asks for a slot at one of the upstreams that hold the target. */
  requestSlot(target: Target, ask: SlotWaiter, nowMs: Ms): void {
    const upstreams = [...this.holding(target, nowMs)].map(({ info }) => info);
    this.gate.wanted(upstreams, ask, nowMs);
  }

  /** Returns true if a request for which the upstream was chosen at `chosenAtMs` may still be sent there. */
  maySend({ info }: UpstreamState, target: Target, chosenAtMs: Ms, nowMs: Ms): boolean {
    const known = this.states.get(info.id);
    if (!known || known.info.isLeaving) return false;
    // It may have started again with other software while the connection was opened.
    return mayServe(known, target) && this.gate.maySend(known.info, chosenAtMs, nowMs);
  }

  /** Returns true if some upstream runs the software that a stream has to be continued with. */
  mayContinue(origin: StreamOrigin): boolean {
    for (const { info } of this.upstreamsOf(origin.service)) {
      if (!info.isLeaving && isContinuable(info, origin, undefined)) return true;
    }
    return false;
  }

  /** Records that a request is sent there. */
  recordSend(state: UpstreamState, nowMs: Ms, requestId: string): void {
    this.gate.useSlot(state.info, nowMs, requestId);
    state.sent.add(nowMs);
  }

  /** Returns the number of requests that this entry has sent there within the window of a rate limit. */
  recentSends(id: UpstreamId, nowMs: Ms): number {
    return this.states.get(id)?.sent.sum(nowMs) ?? 0;
  }

  /** Asks for a slot at an upstream that would have been the best choice, for the next request. */
  private requestNextSlot({ info }: UpstreamState, nowMs: Ms): void {
    this.gate.wanted([info], { rank: LEAST_URGENT, waitMs: 0 }, nowMs);
  }

  /** Yields the upstreams that hold the target and are not leaving. */
  private *holding(target: Target, nowMs: Ms): Iterable<UpstreamState> {
    for (const state of this.upstreamsOf(target.service)) {
      if (!state.info.isLeaving && has(state, target, nowMs)) yield state;
    }
  }

  /** Returns true if the upstream has the only replica of a model, which would be lost with the upstream. */
  private hasOnlyReplica(state: UpstreamState, nowMs: Ms): boolean {
    const { service, models } = state.info;
    for (const model of models.keys()) {
      const target = { service, model };
      const others = [...this.upstreamsOf(service)].filter((other) => other !== state);
      if (!others.some((other) => !other.info.isLeaving && has(other, target, nowMs))) return true;
    }
    return false;
  }

  /** Updates what is known of an upstream by the outcome of an attempt there. */
  recordOutcome(state: UpstreamState, outcome: Outcome, target: Target, nowMs: Ms): void {
    const draft = state;
    const failed = outcome === 'failed' || outcome === 'unreachable' ? 1 : 0;
    if (failed === 1 || outcome === 'rejected') draft.failedAtMs = nowMs;
    if (outcome === 'answered') Object.assign(draft, { answeredAtMs: nowMs, lostAtMs: -Infinity });
    // An upstream that lacks, right after a failure, a model that it holds according to the list has restarted.
    const hasRestarted =
      outcome === 'missing' &&
      target.adapter === undefined &&
      state.failedAtMs > state.answeredAtMs;
    if (outcome === 'unreachable' || hasRestarted) draft.lostAtMs = nowMs;
    // Rejected answers eject the upstream: a share that only answers reduce would keep it unused after that.
    if (outcome !== 'full' && outcome !== 'missing' && outcome !== 'rejected') {
      draft.failureShare += (failed - state.failureShare) * FAILURE_WEIGHT;
    }
    const avoidMs = AVOID_MS[outcome];
    draft.avoidUntilMs = Math.max(state.avoidUntilMs, nowMs + avoidMs);
    if (outcome === 'missing') this.hint(state, target, false, nowMs);
  }

  /** Records a rejected answer to a request sent at `sentAtMs`. Returns true if it ejects the upstream, or for longer. */
  recordRejected(state: UpstreamState, sentAtMs: Ms, nowMs: Ms): boolean {
    return this.eject(state, onRejected(state.ejection, sentAtMs, nowMs));
  }

  /** Records an answer that had no end when its request's time was over. Returns true if it ejects the upstream. */
  recordEndless(state: UpstreamState, sentAtMs: Ms, nowMs: Ms): boolean {
    return this.eject(state, onEndless(state.ejection, sentAtMs, nowMs));
  }

  /** Records a sound answer to a request sent at `sentAtMs`. Returns true if it ends an ejection. */
  recordSound(state: UpstreamState, sentAtMs: Ms): boolean {
    const wasEjected = state.ejection.isEjected;
    this.setEjection(state, onSound(state.ejection, sentAtMs));
    return wasEjected && !state.ejection.isEjected && this.states.get(state.info.id) === state;
  }

  /** Returns true if a request that is sent now is the probe of an ejected upstream: `endProbe` has to follow. */
  beginProbe(state: UpstreamState, nowMs: Ms): boolean {
    if (!probe.isDue(state.ejection, true, nowMs)) return false;
    this.setEjection(state, probe.begin(state.ejection));
    return true;
  }

  /** Ends a probe. What its answer shows is recorded after that. */
  endProbe(state: UpstreamState, nowMs: Ms): void {
    this.setEjection(state, probe.end(state.ejection, nowMs));
  }

  /** Number of upstreams that are out of service because their answers were rejected. */
  get ejectedCount(): number {
    return this.ejected.size;
  }

  /** Returns true if an upstream that this entry still knows is now ejected until another time than before. */
  private eject(state: UpstreamState, next: EjectionState): boolean {
    const { untilMs } = state.ejection;
    this.setEjection(state, next);
    return this.ejected.has(state) && next.untilMs !== untilMs;
  }

  private setEjection(state: UpstreamState, next: EjectionState): void {
    const draft = state;
    draft.ejection = next;
    if (!next.isEjected) this.ejected.delete(state);
    // An attempt may end after its upstream has left the list, or has started again under the same id.
    else if (this.states.get(state.info.id) === state) this.ejected.add(state);
  }

  isLost(state: UpstreamState, nowMs: Ms): boolean {
    return nowMs - state.lostAtMs < UNREACHABLE_MS || this.isSilent(state, nowMs);
  }

  /** Records that the event loop was stalled until now, so that upstreams do not count as silent because of it. */
  resumed(nowMs: Ms): void {
    this.resumedAtMs = nowMs;
  }

  /** Returns true if several streams run there and none has had an event for longer than their gaps may last. */
  private isSilent({ streamCount, eventAtMs, gapTargetMs }: UpstreamState, nowMs: Ms): boolean {
    if (streamCount < SILENT_STREAMS) return false;
    const silentMs = Math.max(MIN_SILENT_MS, gapTargetMs * SILENT_GAPS);
    return nowMs - Math.max(eventAtMs, this.resumedAtMs) > silentMs;
  }

  /** Returns the upstreams that this entry considers lost now. */
  lost(nowMs: Ms): UpstreamId[] {
    const ids: UpstreamId[] = [];
    for (const state of this.states.values()) {
      if (this.isLost(state, nowMs)) ids.push(state.info.id);
    }
    return ids;
  }

  /** Records whether a model or adapter was found there, until the list can show it. */
  hint(state: UpstreamState, { model, adapter }: Target, isThere: boolean, nowMs: Ms): void {
    if (model === undefined) return;
    const hint = { isThere, untilMs: nowMs + HINT_MS };
    if (adapter !== undefined) state.hints.set(`${model}/${adapter}`, hint);
    if (adapter === undefined || isThere) state.hints.set(model, hint);
  }

  /** Applies the load and pace that an upstream reported in an answer. */
  recordLoad(state: UpstreamState, load: ReportedLoad, nowMs: Ms): void {
    const othersLoad = Math.max(0, load.running + load.waiting - state.inFlight);
    Object.assign(state, { othersLoad, othersAtMs: nowMs });
    if (load.workPercent === undefined) return;
    this.updatePace(state, onWorkPercent(state.pace, load.workPercent, nowMs));
  }

  /** Returns this entry's requests at upstreams of load-aware services, to be reported to the order lease holder. */
  ownLoads(): readonly UpstreamLoad[] {
    const loads: UpstreamLoad[] = [];
    for (const { info, inFlight } of this.states.values()) {
      if (inFlight === 0 || !this.isLoadAware(info.service)) continue;
      loads.push({ upstream: info.id, running: inFlight });
    }
    return loads;
  }

  /** Returns the average paces that this entry has learned by itself. */
  ownPaces(): readonly UpstreamPace[] {
    const paces: UpstreamPace[] = [];
    for (const { info, pace } of this.states.values()) {
      if (pace.reportedAtMs === -Infinity || !this.isLoadAware(info.service)) continue;
      paces.push({ upstream: info.id, percent: Math.round(pace.average * PERCENT) });
    }
    return paces;
  }

  /**
   * Applies the requests of other entries, requested at `requestedAtMs`. Upstreams that are not listed have none. Answers
   * may overtake each other; an older one is ignored.
   */
  recordSharedLoads(others: readonly UpstreamLoad[], requestedAtMs: Ms): void {
    if (requestedAtMs < this.sharedAtMs) return;
    this.sharedAtMs = requestedAtMs;
    for (const state of this.states.values()) state.sharedLoad = 0;
    for (const { upstream, running } of others) {
      const state = this.states.get(upstream);
      if (state) state.sharedLoad = running;
    }
  }

  /** Applies the average paces over all entries. */
  recordSharedPaces(paces: readonly UpstreamPace[], nowMs: Ms): void {
    for (const { upstream, percent } of paces) {
      const state = this.states.get(upstream);
      if (state) this.updatePace(state, onSharedPercent(state.pace, percent, nowMs));
    }
  }

  /** Sets a pace; one that has changed shows that an upstream of the service reports it. */
  private updatePace(state: UpstreamState, pace: UpstreamState['pace']): void {
    const draft = state;
    if (pace === state.pace) return;
    draft.pace = pace;
    this.pacedServices.add(state.info.service);
  }

  /** Records the time from sending a request to the first event of its stream. */
  recordFirstEvent(state: UpstreamState, tookMs: Ms, nowMs: Ms): void {
    const unloadedFirstEventMs = unloadedTimeMs(state.unloadedFirstEventMs, tookMs);
    Object.assign(state, { eventAtMs: nowMs, unloadedFirstEventMs });
    if (!this.isLoadAware(state.info.service)) return;
    const usualMs = tookMs / this.paceOf(state, nowMs);
    Object.assign(state, { usualFirstEventMs: unloadedTimeMs(state.usualFirstEventMs, usualMs) });
  }

  /** Records the gap between two events of a stream. Returns true if it has reduced the engine's limit. */
  recordGap(state: UpstreamState, gapMs: Ms, targetMs: Ms, nowMs: Ms): boolean {
    const draft = state;
    draft.eventAtMs = nowMs;
    draft.gapTargetMs = targetMs;
    draft.unloadedGapMs = unloadedTimeMs(state.unloadedGapMs, gapMs);
    const before = state.limit;
    draft.limit = onGap(before, { gapMs, targetMs, fill: this.utilization(state, nowMs) }, nowMs);
    return draft.limit !== before;
  }

  /** Records how long a plain upstream took to answer, with `load` requests there when the request was sent. */
  recordServiceTime(state: UpstreamState, tookMs: Ms, load: number, nowMs: Ms): void {
    const draft = state;
    const { slots, service } = state.info;
    const usualMs = this.isLoadAware(service) ? tookMs / this.paceOf(state, nowMs) : tookMs;
    draft.serviceMs = learnService(state.serviceMs, { tookMs: usualMs, load, slots });
  }

  /** Returns true if a request can be answered in time by a plain upstream, or does not delay other requests there. */
  mayJoin(state: UpstreamState, heldMs: Ms, targetMs: Ms, nowMs: Ms): boolean {
    const load = this.load(state.info.id, nowMs);
    const { slots, service } = state.info;
    const pace = this.isLoadAware(service) ? this.paceOf(state, nowMs) : 1;
    const serviceMs = state.serviceMs * pace;
    const takesMs = expectedAnswerMs({ load, slots, serviceMs });
    return mayJoin({ heldMs, targetMs, expectedMs: takesMs, load, slots });
  }

  /** Returns true if an engine has reached its limit, which is higher for the most urgent requests. */
  isFull(state: UpstreamState, isUrgent: boolean, nowMs: Ms, targetMs: Ms = 0): boolean {
    if (this.isLoadAware(state.info.service)) {
      const free =
        this.placesOf(state, isUrgent, targetMs, nowMs) - this.load(state.info.id, nowMs);
      return free < upstreamForecastRules.minFree;
    }
    const share = isUrgent ? engineLimitRules.urgentFactor : 1;
    return this.utilization(state, nowMs) > maxFill(state.limit, nowMs) * share;
  }

  /** Returns how many prompts a service's engine processes within one allowed gap, on average; undefined if unknown. */
  promptsPerGap(service: ServiceId): number | undefined {
    let sum = 0;
    let count = 0;
    for (const { unloadedFirstEventMs, gapTargetMs } of this.upstreamsOf(service)) {
      if (!Number.isFinite(unloadedFirstEventMs) || !Number.isFinite(gapTargetMs)) continue;
      sum += gapTargetMs / Math.max(1, unloadedFirstEventMs);
      count += 1;
    }
    return count === 0 ? undefined : sum / count;
  }

  /** Returns true if an engine is processing prompts now, as far as this entry can see. */
  isPrefilling(state: UpstreamState, gapTargetMs: Ms, nowMs: Ms): boolean {
    const isCurrent = state.streamCount === 0 || this.resumedAtMs <= state.eventAtMs;
    if (isCurrent) return isPrefilling(state, gapTargetMs, nowMs);
    return isPrefilling({ ...state, eventAtMs: this.resumedAtMs }, gapTargetMs, nowMs);
  }

  /** Returns the fraction of an upstream's slots that is in use; above 1, requests wait there. */
  utilization(state: UpstreamState, nowMs: Ms): number {
    return (state.inFlight + this.others(state, nowMs)) / state.info.slots;
  }

  /** Returns the number of requests at an upstream, as far as known here. */
  load(id: UpstreamId, nowMs: Ms): number {
    const state = this.states.get(id);
    return state ? state.inFlight + this.others(state, nowMs) : 0;
  }

  /** Returns the cost of choosing an upstream: its load as a fraction of its slots, with penalties. */
  cost(state: UpstreamState, nowMs: Ms): number {
    const { info } = state;
    const load = (state.inFlight + this.others(state, nowMs) + 1) / info.slots;
    const zone = info.availabilityZone === this.availabilityZone ? 0 : ZONE_COST;
    const avoided = state.avoidUntilMs > nowMs ? 1 + FAILURE_COST : 0;
    const full = this.isFull(state, false, nowMs) ? FULL_COST : 0;
    const isBusy = this.isPrefilling(state, state.gapTargetMs, nowMs);
    return (
      full +
      (isBusy ? promptPaceRules.prefillCost : 0) +
      load +
      zone +
      state.failureShare * FAILURE_COST +
      avoided
    );
  }

  private others(state: UpstreamState, nowMs: Ms): number {
    const { othersLoad, othersAtMs } = state;
    const byHeader = othersLoad * 0.5 ** ((nowMs - othersAtMs) / OTHERS_HALF_LIFE_MS);
    if (!this.isLoadAware(state.info.service)) return byHeader;
    const { freshMs, halfLifeMs } = sharedLoadRules;
    const overdueMs = nowMs - this.sharedAtMs - freshMs;
    const bySum = state.sharedLoad * 0.5 ** (Math.max(0, overdueMs) / halfLifeMs);
    if (othersAtMs <= this.sharedAtMs) return bySum;
    // A load header leaves out requests that are on their way to the upstream. So while the sum is fresh, a newer header
    // only shows requests that the sum lacks: an underestimate overloads the upstream, an overestimate lasts 100 ms.
    return overdueMs > 0 ? byHeader : Math.max(bySum, byHeader);
  }
}

import type { Ms } from '../../base/index.js';
import { poisonRules } from '../../core/poison/index.js';
import type { AttemptEnd } from '../../core/delivery/index.js';
import type { StreamOrigin } from '../../core/origin/index.js';
import type { Route } from '../../core/routetable/index.js';
import type { UpstreamLink, UpstreamReceiver } from '../../port/index.js';
import type { Target, UpstreamState } from '../route/index.js';
import type { Serving } from '../serving.js';
import type { Reply } from './reply.js';
import type { RunRecord } from './runrecord.js';
import type { Suspicion } from './suspicion.js';

type Head = Parameters<UpstreamReceiver['head']>[0];
type Call = Omit<Parameters<UpstreamLink['send']>[0], 'maySend'>;
type Sent = NonNullable<ReturnType<UpstreamLink['send']>>;
type Failure = Parameters<UpstreamReceiver['failed']>[0];

interface AttemptOptions {
  readonly serving: Serving;
  readonly suspicion: Suspicion;
  readonly reply: Reply;
  readonly record: RunRecord;
  readonly route: Route;
  readonly target: Target;
  readonly state: UpstreamState;
  /** Returns true if the request, for which the upstream was chosen at `chosenAtMs`, may still be sent there. */
  readonly maySend: (chosenAtMs: Ms) => boolean;
  /** Called once, when the attempt is over. */
  readonly over: (end: AttemptEnd | { readonly type: 'answered' }) => void;
}

/** Statuses from here on are failures of the upstream; lower ones are passed on to the caller. */
const FIRST_FAILURE_STATUS = 500;
const FIRST_NON_SUCCESS_STATUS = 300;
/** An answer that began later than this before its request's time was over may have been late rather than endless. */
const MIN_ENDLESS_MS = 1000;
/** Answered by another incarnation than the requested one, or by an upstream that lacks the model. */
const WRONG_UPSTREAM_STATUS = 421;

/** One attempt of a request at one upstream; updates what is known of the upstream by its outcome. */
export class Attempt {
  private sent: Sent | undefined;

  /** True between sending and the end of the attempt. */
  private isUnderWay = false;

  private sentAtMs: Ms = 0;

  /** Number of requests there when it was sent. */
  private sentLoad = 0;

  /** The upstream's versions when the request was sent; its record may change while the attempt runs. */
  private origin: StreamOrigin | undefined;

  private lastEventAtMs: Ms | undefined;

  /** When the first data of the answer arrived. */
  private answerBeganAtMs: Ms | undefined;

  /** True once the answer has gone on for long enough to prove that the request crashes no upstream. */
  private hasSurvived = false;

  /** The answer that has begun, if any. */
  private head: Head | undefined;

  private headAtMs: Ms = 0;

  /** True if the request is the probe of an ejected upstream. */
  private isProbe = false;

  /** True once the caller has not accepted data at once. */
  private wasPaused = false;

  /** True for a stream whose first event has not arrived. */
  private isPrefilling = false;

  constructor(private readonly options: AttemptOptions) {}

  /** Sends the request. The upstream has to have been chosen at this very moment. */
  begin(call: Call): void {
    const { serving, state, target, record, route } = this.options;
    const { fleet, clock, link } = serving;
    const nowMs = clock.nowMs();
    fleet.recordSend(state, nowMs, call.requestId);
    this.isProbe = fleet.beginProbe(state, nowMs);
    let isChosenNow = true;
    const maySend = () => {
      const isAllowed = isChosenNow || this.options.maySend(nowMs);
      if (isAllowed) this.recordOrigin();
      return isAllowed;
    };
    this.sent = link.send({ ...call, maySend }, this.receiver());
    isChosenNow = false;
    if (!this.sent) {
      record.unconnectedCount += 1;
      serving.attempted('no-connection');
      serving.lackedConnection(state.info.id);
      fleet.recordOutcome(state, 'full', target, nowMs);
      this.endProbe();
      this.options.over({ type: 'not-run', wasSent: false, isUnconnected: true });
      return;
    }
    this.isUnderWay = true;
    record.firstSentAtMs ??= nowMs;
    record.listAgeMs = serving.listAgeMs();
    this.sentAtMs = nowMs;
    this.sentLoad = fleet.load(state.info.id, nowMs);
    state.inFlight += 1;
    this.isPrefilling = route.kind === 'streaming';
    if (this.isPrefilling) state.prefillCount += 1;
    serving.began(target);
  }

  /** Notes with what the stream begins if this attempt brings its first event. */
  private recordOrigin(): void {
    const { serving, state, target, record } = this.options;
    const { softwareVersion, models } = serving.fleet.get(state.info.id)?.info ?? state.info;
    const weights = target.model === undefined ? undefined : models.get(target.model)?.version;
    const weightsVersion = weights === undefined ? undefined : String(weights);
    this.origin = { service: target.service, softwareVersion, weightsVersion };
    record.softwareVersions.push(softwareVersion);
  }

  /** Returns the origin with the weights that the upstream names: the list may show earlier ones. */
  private originWith({ weightsVersion = this.origin?.weightsVersion }: Head): StreamOrigin {
    this.origin = { ...this.origin!, weightsVersion };
    return this.origin;
  }

  /** Cancels the attempt. Returns true if the upstream may have run it. */
  withdraw(outcome: string): boolean {
    const mayHaveRun = this.sent?.isSent ?? false;
    this.note(outcome);
    this.leave();
    if (outcome === 'timeout') this.recordEndless();
    this.sent?.cancel();
    return mayHaveRun;
  }

  /** Logs that the attempt is cancelled for the memory that is held of its answer. */
  logGivenUp(heldBytes: number): void {
    const { serving, state, reply } = this.options;
    const nowMs = serving.clock.nowMs();
    serving.log.warn('answer given up for memory', {
      requestId: reply.requestId,
      upstream: state.info.id,
      heldBytes,
      runMs: Math.round(nowMs - this.sentAtMs),
      answer: this.answerFields(nowMs),
      ...this.receivedFields(),
    });
  }

  /** Resumes reading: the caller accepts more data. */
  resume(): void {
    this.sent?.resume();
  }

  private receiver(): UpstreamReceiver {
    return {
      head: (head) => {
        if (this.isUnderWay) this.onHead(head);
      },
      data: (chunk) => (this.isUnderWay ? this.data(chunk) : true),
      end: () => {
        if (this.isUnderWay) this.ended();
      },
      failed: (failure) => {
        if (this.isUnderWay) this.onFailure(failure);
      },
    };
  }

  private onHead(head: Head): void {
    const { serving, state, target, record, route, reply } = this.options;
    const { fleet, poison, gate, clock } = serving;
    const nowMs = clock.nowMs();
    if (head.load) fleet.recordLoad(state, head.load, nowMs);
    if (head.selfReport) gate.onAnswer(state.info, head.selfReport);
    if (head.status !== WRONG_UPSTREAM_STATUS) poison.answered(state.info.id, this.sentAtMs);
    if (head.isNotRun) {
      this.notRun(head);
      return;
    }
    if (!reply.canTake(head)) {
      this.sent?.cancel();
      const detail = `The upstream answered ${head.status} to the continuation of a stream.`;
      const failure = { type: 'upstream-wrong-answer', detail, mayHaveRun: true } as const;
      // An answer of an error status is sound: the upstream may be right to refuse the position.
      this.onFailure(failure, head.status < FIRST_NON_SUCCESS_STATUS);
      return;
    }
    this.head = head;
    this.headAtMs = nowMs;
    record.firstByteAtMs ??= nowMs;
    if (target.model === undefined && head.status < FIRST_FAILURE_STATUS) {
      fleet.recordServiceTime(state, nowMs - this.sentAtMs, this.sentLoad, nowMs);
    }
    const isStream = route.kind === 'streaming' && head.status < FIRST_NON_SUCCESS_STATUS;
    const origin = isStream ? this.originWith(head) : undefined;
    reply.take(head, { isStream, isResumable: route.isResumable, origin });
  }

  private notRun(head: Head): void {
    this.leave();
    this.sent?.cancel();
    this.recordRefusal(head);
    this.note(`not-run-${head.status}`);
    this.options.over({ type: 'not-run', wasSent: true });
  }

  private recordRefusal({ status }: Head): void {
    const { target, state } = this.options;
    // The upstream may hold the model with other weights than the stream needs, unless it has just restarted.
    const hasFailed = state.failedAtMs > state.answeredAtMs;
    const mayHoldModel = target.origin?.weightsVersion !== undefined && !hasFailed;
    if (status !== WRONG_UPSTREAM_STATUS) this.recordOutcome('full');
    else if (!mayHoldModel) this.recordOutcome('missing');
  }

  private data(chunk: Buffer): boolean {
    const { route, reply, serving, suspicion } = this.options;
    const nowMs = serving.clock.nowMs();
    this.answerBeganAtMs ??= nowMs;
    const isLong = nowMs - this.answerBeganAtMs >= poisonRules.survivalMs;
    if (isLong && !this.hasSurvived && this.isSuccess) {
      this.hasSurvived = true;
      suspicion.recordSurvival(this.seenRun());
    }
    if (route.kind === 'streaming') this.recordEvent();
    const isAccepted = reply.data(chunk);
    this.wasPaused ||= !isAccepted;
    if (reply.isEventTooLarge) this.endEndlessEvent();
    else if (this.isProbe && this.isWholeSoFar) this.recordSound();
    return isAccepted;
  }

  /** Gives up a stream whose event never ends: what has come of it fills the memory. */
  private endEndlessEvent(): void {
    this.sent?.cancel();
    const detail = 'An event of the stream is too large.';
    this.onFailure({ type: 'upstream-wrong-answer', detail, mayHaveRun: true });
  }

  /** True if a stream has had an event and is between two: a probe need not wait for the end of a long stream. */
  private get isWholeSoFar(): boolean {
    const { route, reply } = this.options;
    const isStream = route.kind === 'streaming' && this.isSuccess;
    return isStream && reply.incompleteDetail === undefined;
  }

  private get isSuccess(): boolean {
    const { status = FIRST_FAILURE_STATUS } = this.head ?? {};
    return status < FIRST_NON_SUCCESS_STATUS;
  }

  private seenRun(): Parameters<Suspicion['recordBreak']>[0] {
    const { state, target } = this.options;
    const { sentAtMs, answerBeganAtMs } = this;
    const softwareVersion = this.origin?.softwareVersion;
    return { state, target, softwareVersion, sentAtMs, answerBeganAtMs };
  }

  private recordEvent(): void {
    const { serving, state, record, route } = this.options;
    const { fleet } = serving;
    const { gapTargetMs } = route;
    const nowMs = serving.clock.nowMs();
    const { lastEventAtMs } = this;
    this.lastEventAtMs = nowMs;
    if (this.isPrefilling) {
      state.streamCount += 1;
      state.prefillCount -= 1;
      this.isPrefilling = false;
      fleet.recordFirstEvent(state, nowMs - this.sentAtMs, nowMs);
      // Another prompt may be processed there now.
      serving.waitline.wakeAt(state.info.id);
    }
    if (lastEventAtMs === undefined) return;
    const gapMs = nowMs - lastEventAtMs;
    record.longestGapMs = Math.max(record.longestGapMs, gapMs);
    if (fleet.recordGap(state, gapMs, gapTargetMs, nowMs)) this.logCut(gapMs, nowMs);
  }

  private logCut(gapMs: Ms, nowMs: Ms): void {
    const { serving, state, route } = this.options;
    serving.log.info('engine limit cut', {
      requestId: this.options.reply.requestId,
      upstream: state.info.id,
      gapMs: Math.round(gapMs),
      gapTargetMs: route.gapTargetMs,
      load: Math.round(serving.fleet.load(state.info.id, nowMs)),
      limit: Math.round(state.limit.fill * state.info.slots),
    });
  }

  private ended(): void {
    const { reply } = this.options;
    const { status, incompleteDetail: detail } = reply;
    if (detail !== undefined) {
      // By its framing the upstream has sent the answer whole, so that it has not crashed.
      const isFramed = this.head!.hasLength && !reply.isInsideEvent;
      const type = isFramed ? 'upstream-wrong-answer' : 'upstream-lost';
      this.onFailure({ type, detail, mayHaveRun: true });
      return;
    }
    this.leave();
    const isFailure = status >= FIRST_FAILURE_STATUS;
    this.recordOutcome(isFailure ? 'failed' : 'answered');
    this.recordSound();
    this.note(String(status));
    this.recordShortAnswer();
    this.options.over({ type: isFailure && reply.isHeld ? 'failed' : 'answered' });
  }

  /** Records an answer that ended before it could prove anything by itself. */
  private recordShortAnswer(): void {
    const { answerBeganAtMs, head, hasSurvived } = this;
    if (hasSurvived || !this.isSuccess || answerBeganAtMs === undefined) return;
    const { suspicion, serving } = this.options;
    const end = { endedAtMs: serving.clock.nowMs(), hasLength: head!.hasLength };
    suspicion.recordEnd({ ...this.seenRun(), answerBeganAtMs }, end);
  }

  private onFailure(
    { type, detail, mayHaveRun }: Failure,
    isRejected = type === 'upstream-wrong-answer',
  ): void {
    this.leave();
    this.note(type);
    if (type === 'request-withheld' || type === 'request-unsendable') {
      if (type === 'request-unsendable') this.logUnsent(type, detail);
      this.options.over({ type: 'not-run', wasSent: false });
      return;
    }
    if (type === 'upstream-unreachable') this.logUnsent(type, detail);
    if (type === 'upstream-lost') this.onConnectionLost(detail);
    if (type === 'upstream-wrong-answer') this.onWrongAnswer(detail);
    if (mayHaveRun && isRejected) this.recordRejected(detail);
    else this.recordOutcome(mayHaveRun ? 'failed' : 'unreachable');
    if (mayHaveRun) this.options.over({ type: 'broken' });
    else this.options.over({ type: 'not-run', wasSent: false, isUnreachable: true });
  }

  private logUnsent(type: Failure['type'], detail: string): void {
    const { serving, state, reply } = this.options;
    const { id: upstream, address } = state.info;
    const fields = { requestId: reply.requestId, upstream, address, type, detail };
    serving.log.warn('request not sent', fields);
  }

  /**
   * The upstream may have crashed, and this request may be the cause. A retry has another id and may reach another
   * entry, and other requests may share the part of the prompt that is the cause.
   */
  private onConnectionLost(detail: string): void {
    const { serving, state, suspicion, reply } = this.options;
    const { id: upstream, isLeaving } = state.info;
    const nowMs = serving.clock.nowMs();
    const runMs = nowMs - this.sentAtMs;
    serving.log.warn('run broke off', {
      requestId: reply.requestId,
      content: suspicion.content,
      upstream,
      runMs: Math.round(runMs),
      sharedParts: reply.sharedParts,
      answer: this.answerFields(nowMs),
      ...this.receivedFields(),
      othersThere: state.inFlight,
      isLeaving,
      detail,
    });
    suspicion.recordBreak(this.seenRun(), serving.fleet);
  }

  /** The upstream runs, so that its request is not suspected of ending it. */
  private onWrongAnswer(detail: string): void {
    const { serving, state, reply } = this.options;
    const runMs = Math.round(serving.clock.nowMs() - this.sentAtMs);
    const fields = {
      requestId: reply.requestId,
      upstream: state.info.id,
      runMs,
      ...this.receivedFields(),
      detail,
    };
    serving.log.warn('answer rejected', fields);
  }

  private recordRejected(detail: string): void {
    const { serving, state } = this.options;
    this.recordOutcome('rejected');
    const nowMs = serving.clock.nowMs();
    if (serving.fleet.recordRejected(state, this.sentAtMs, nowMs)) {
      this.logEjected('rejected', detail);
    }
  }

  /**
   * Records an answer that was under way when the request's time was over. Events may arrive slowly for good reasons,
   * but seldom in parts, and a caller that reads slowly holds up any answer.
   */
  private recordEndless(): void {
    const { serving, state, route, reply } = this.options;
    const { answerBeganAtMs } = this;
    const nowMs = serving.clock.nowMs();
    if (this.wasPaused || answerBeganAtMs === undefined) return;
    if (route.kind === 'streaming' && !reply.isInsideEvent) return;
    if (nowMs - answerBeganAtMs < MIN_ENDLESS_MS) return;
    const detail = 'Several answers had no end in time.';
    if (serving.fleet.recordEndless(state, this.sentAtMs, nowMs)) {
      this.logEjected('endless', detail);
    }
  }

  private logEjected(reason: 'rejected' | 'endless', detail: string): void {
    const { serving, state } = this.options;
    const { rejectedCount: count, rejectedAtMs, untilMs } = state.ejection;
    const forMs = Math.round(untilMs - rejectedAtMs);
    serving.ejected(reason);
    serving.log.warn('upstream ejected', { upstream: state.info.id, reason, detail, count, forMs });
  }

  private endProbe(): void {
    const { serving, state } = this.options;
    if (this.isProbe) serving.fleet.endProbe(state, serving.clock.nowMs());
    this.isProbe = false;
  }

  private recordSound(): void {
    const { serving, state } = this.options;
    this.endProbe();
    const { rejectedCount: count, rejectedAtMs } = state.ejection;
    if (!serving.fleet.recordSound(state, this.sentAtMs)) return;
    const sinceRejectedMs = Math.round(serving.clock.nowMs() - rejectedAtMs);
    serving.log.info('upstream restored', { upstream: state.info.id, count, sinceRejectedMs });
    // Requests may wait for a slot.
    serving.waitline.wakeAt(state.info.id);
  }

  /** Returns fields for log lines: a faulty upstream may send few bytes in very many pieces. */
  private receivedFields(): object {
    const { bytes, pieces } = this.sent?.received ?? {};
    return { answerBytes: bytes, answerPieces: pieces };
  }

  /** Returns fields for the log line of a broken run: how far its answer had come; undefined if none had begun. */
  private answerFields(nowMs: Ms): object | undefined {
    if (!this.head) return undefined;
    const { status, hasLength } = this.head;
    return { status, hasLength, forMs: Math.round(nowMs - this.headAtMs) };
  }

  private recordOutcome(outcome: Parameters<Serving['fleet']['recordOutcome']>[1]): void {
    const { serving, state, target } = this.options;
    serving.fleet.recordOutcome(state, outcome, target, serving.clock.nowMs());
  }

  private note(outcome: string): void {
    const { serving, state, record } = this.options;
    record.attempts.push(`${state.info.id}:${outcome}`);
    serving.attempted(outcome);
  }

  /** Stops counting the request as in flight at the upstream. */
  private leave(): void {
    const { serving, state, target, record } = this.options;
    this.isUnderWay = false;
    const { bytes = 0, pieces = 0 } = this.sent?.received ?? {};
    record.answerBytes += bytes;
    record.answerPieces += pieces;
    serving.received(bytes, pieces);
    state.inFlight -= 1;
    if (this.isPrefilling) state.prefillCount -= 1;
    else if (this.lastEventAtMs !== undefined) state.streamCount -= 1;
    this.isPrefilling = false;
    this.endProbe();
    serving.left(target, serving.clock.nowMs() - this.sentAtMs);
    serving.waitline.wakeAt(state.info.id);
  }
}

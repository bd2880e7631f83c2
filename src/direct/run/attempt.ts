import type { Ms } from '../../base/index.js';
import type { AttemptEnd } from '../../core/delivery/index.js';
import type { Route } from '../../core/routetable/index.js';
import type { UpstreamLink, UpstreamReceiver } from '../../port/index.js';
import type { Need, UpstreamState } from '../route/index.js';
import type { Serving } from '../serving.js';
import type { Reply } from './reply.js';
import type { RunRecord } from './runrecord.js';
import type { Suspicion } from './suspicion.js';

type Head = Parameters<UpstreamReceiver['head']>[0];
type Call = Omit<Parameters<UpstreamLink['send']>[0], 'mayLeave'>;
type Sent = NonNullable<ReturnType<UpstreamLink['send']>>;
type Failure = Parameters<UpstreamReceiver['failed']>[0];

/** What one attempt stands on. */
interface AttemptOptions {
  readonly serving: Serving;
  readonly suspicion: Suspicion;
  readonly reply: Reply;
  readonly record: RunRecord;
  readonly route: Route;
  readonly need: Need;
  readonly state: UpstreamState;
  /** Whether its request, chosen for then, may still be sent there. */
  readonly mayLeave: (chosenAtMs: Ms) => boolean;
  /** It is over, and nothing more comes of it. */
  readonly over: (end: AttemptEnd | { readonly type: 'answered' }) => void;
}

/** An upstream's own failures: all others are the caller's matter. */
const FIRST_FAILURE_STATUS = 500;
const FIRST_NO_SUCCESS = 300;
/** Another start than the one asked for answers so, or one that lacks the model. */
const WRONG_UPSTREAM_STATUS = 421;

/** One request at one upstream, from its sending to its end there, and what that teaches of the upstream. */
export class Attempt {
  private sent: Sent | undefined;

  /** Between its sending and its end. */
  private isUnderWay = false;

  private sentAtMs: Ms = 0;

  /** Requests that were there when it was sent. */
  private sentLoad = 0;

  private lastEventAtMs: Ms | undefined;

  /** It is a stream whose first event has not come. */
  private isReading = false;

  constructor(private readonly options: AttemptOptions) {}

  /** Sends it. The caller has chosen the upstream in this same moment. */
  begin(call: Call): void {
    const { serving, state, need, record, route } = this.options;
    const { fleet, clock, link } = serving;
    const nowMs = clock.nowMs();
    fleet.enter(state, nowMs, call.requestId);
    let isChosenNow = true;
    const mayLeave = () => isChosenNow || this.options.mayLeave(nowMs);
    this.sent = link.send({ ...call, mayLeave }, this.receiver());
    isChosenNow = false;
    if (!this.sent) {
      this.note('no-connection');
      fleet.learn(state, 'full', need, nowMs);
      this.options.over({ type: 'not-run', wasSent: false });
      return;
    }
    this.isUnderWay = true;
    record.firstSentAtMs ??= nowMs;
    this.sentAtMs = nowMs;
    this.sentLoad = fleet.load(state.info.id, nowMs);
    state.inFlight += 1;
    this.isReading = route.kind === 'streaming';
    if (this.isReading) state.readingCount += 1;
    serving.began(need);
  }

  /** Ends it now, whatever the upstream does; true if it may have run. */
  withdraw(outcome: string): boolean {
    const mayHaveRun = this.sent?.hasLeft ?? false;
    this.note(outcome);
    this.leave();
    this.sent?.cancel();
    return mayHaveRun;
  }

  /** Its caller takes more. */
  resume(): void {
    this.sent?.resume();
  }

  private receiver(): UpstreamReceiver {
    return {
      head: (head) => {
        if (this.isUnderWay) this.took(head);
      },
      data: (chunk) => (this.isUnderWay ? this.data(chunk) : true),
      end: () => {
        if (this.isUnderWay) this.ended();
      },
      failed: (failure) => {
        if (this.isUnderWay) this.failed(failure);
      },
    };
  }

  private took(head: Head): void {
    const { serving, state, need, record, route, reply } = this.options;
    const { fleet, poison, gate, clock } = serving;
    const nowMs = clock.nowMs();
    if (head.load) fleet.learnLoad(state, head.load, nowMs);
    if (head.said) gate.hear(state.info, head.said);
    if (head.status !== WRONG_UPSTREAM_STATUS) poison.answered(state.info.id, this.sentAtMs);
    if (head.isNotRun) {
      this.notRun(head);
      return;
    }
    record.firstByteAtMs ??= nowMs;
    if (need.model === undefined && head.status < FIRST_FAILURE_STATUS) {
      fleet.learnService(state, nowMs - this.sentAtMs, this.sentLoad);
    }
    const isStream = route.kind === 'streaming' && head.status < FIRST_NO_SUCCESS;
    reply.take(head, { isStream, isResumable: route.isResumable });
  }

  private notRun(head: Head): void {
    this.leave();
    this.sent?.cancel();
    this.learn(head.status === WRONG_UPSTREAM_STATUS ? 'missing' : 'full');
    this.note(`not-run-${head.status}`);
    this.options.over({ type: 'not-run', wasSent: true });
  }

  private data(chunk: Buffer): boolean {
    const { route, reply } = this.options;
    if (route.kind === 'streaming') this.learnGap();
    return reply.data(chunk);
  }

  private learnGap(): void {
    const { serving, state, record, route } = this.options;
    const { fleet } = serving;
    const { gapTargetMs } = route;
    const nowMs = serving.clock.nowMs();
    const { lastEventAtMs } = this;
    this.lastEventAtMs = nowMs;
    if (this.isReading) {
      state.streamCount += 1;
      state.readingCount -= 1;
      this.isReading = false;
      fleet.learnFirst(state, nowMs - this.sentAtMs, nowMs);
    }
    if (lastEventAtMs === undefined) return;
    const gapMs = nowMs - lastEventAtMs;
    record.longestGapMs = Math.max(record.longestGapMs, gapMs);
    if (fleet.learnGap(state, gapMs, gapTargetMs, nowMs)) this.tellCut(gapMs, nowMs);
  }

  private tellCut(gapMs: Ms, nowMs: Ms): void {
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
    const { reply, suspicion } = this.options;
    const { status } = reply;
    this.leave();
    const isFailure = status >= FIRST_FAILURE_STATUS;
    this.learn(isFailure ? 'failed' : 'answered');
    this.note(String(status));
    if (!isFailure) suspicion.ranWell();
    this.options.over({ type: isFailure && reply.isHeld ? 'failed' : 'answered' });
  }

  private failed({ type, detail, mayHaveRun }: Failure): void {
    this.leave();
    this.note(type);
    if (type === 'request-withheld') {
      this.options.over({ type: 'not-run', wasSent: false });
      return;
    }
    if (type === 'upstream-lost') this.brokeOff(detail);
    this.learn(mayHaveRun ? 'failed' : 'unreachable');
    this.options.over(mayHaveRun ? { type: 'broken' } : { type: 'not-run', wasSent: false });
  }

  /**
   * The upstream may have ended, and this request may be why. It comes again under another id, maybe at another
   * entry: what it asks is what it is known by.
   */
  private brokeOff(detail: string): void {
    const { serving, state, need, suspicion, reply } = this.options;
    const { id: upstream, isLeaving } = state.info;
    const runMs = serving.clock.nowMs() - this.sentAtMs;
    serving.log.warn('run broke off', {
      requestId: reply.requestId,
      content: suspicion.content,
      upstream,
      runMs: Math.round(runMs),
      othersThere: state.inFlight,
      isLeaving,
      detail,
    });
    suspicion.brokeOff(state, need, runMs, serving.fleet);
  }

  private learn(lesson: Parameters<Serving['fleet']['learn']>[1]): void {
    const { serving, state, need } = this.options;
    serving.fleet.learn(state, lesson, need, serving.clock.nowMs());
  }

  private note(outcome: string): void {
    const { serving, state, record } = this.options;
    record.attempts.push(`${state.info.id}:${outcome}`);
    serving.attempted(outcome);
  }

  /** It is at the upstream no more. */
  private leave(): void {
    const { serving, state, need } = this.options;
    this.isUnderWay = false;
    state.inFlight -= 1;
    if (this.isReading) state.readingCount -= 1;
    else if (this.lastEventAtMs !== undefined) state.streamCount -= 1;
    this.isReading = false;
    serving.left(need, serving.clock.nowMs() - this.sentAtMs);
  }
}

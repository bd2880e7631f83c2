import { VirtualClock } from '../../src/base/index.js';
import type { ModelId, Ms, ServiceId, UpstreamId } from '../../src/base/index.js';
import type { StreamOrigin } from '../../src/core/origin/index.js';
import type { Route } from '../../src/core/routetable/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';
import { DemandMeter, type FindAnswer } from '../../src/direct/orders/index.js';
import { RetryBudgets } from '../../src/direct/retrybudgets.js';
import { Fleet, type Target } from '../../src/direct/route/index.js';
import type { Refusal } from '../../src/direct/refusal.js';
import { Run } from '../../src/direct/run/index.js';
import type { Serving } from '../../src/direct/serving.js';
import { TargetFinder } from '../../src/direct/targetfinder.js';
import type { UpstreamLink } from '../../src/port/index.js';
import { fakeServing } from './fakeserving.js';

const UNREAD = { bytes: 0, pieces: 0 };

type Call = Parameters<UpstreamLink['send']>[0];
type Receiver = Parameters<UpstreamLink['send']>[1];
type Admitted = ConstructorParameters<typeof Run>[1];

/**
 * What a request meets at an upstream. `unsendable`: it cannot be written; `crashing`: it ends its connection and the
 * next one opens none; `breaking`: its stream breaks after one event; `eventless`: its answer
 * has a length of 0.
 */
type Condition =
  'serving' | 'down' | 'empty' | 'full' | 'unsendable' | 'crashing' | 'breaking' | 'eventless';

/** Limits of the retry budget of the service. */
interface BudgetLimits {
  readonly ratio: number;
  readonly slack: number;
}

/** How a request ended, as its caller sees it. */
interface Ended {
  readonly status: number;
  readonly type?: string;
  readonly retryAfterMs?: Ms;
  readonly atMs: Ms;
}

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
/** The caller's deadline. */
const DEADLINE_MS = 20_000;
const STEP_MS = 5;
const ANSWER_MS = 1;
const BREAK_MS = 200;
const ROUTE: Route = {
  name: 'streams',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 250,
  gapTargetMs: 1000,
  priority: 0,
  destinations: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 3,
  isPublic: true,
  isResumable: true,
};
const ignore = () => {};

/** An entry at which callers take up streams that began at software version v1, in virtual time. */
export class TakeUpRig {
  static readonly model = MODEL;

  readonly clock = new VirtualClock();

  readonly ended: Ended[] = [];

  /** When answers that had begun were cut. */
  readonly cutAtMs: Ms[] = [];

  /** Upstreams of the requests that were sent, or that could not be. */
  readonly sends: string[] = [];

  /** Ends of requests that took a stream up, as counted. */
  readonly counted: string[] = [];

  /** Fields of the log lines of requests that have ended. */
  readonly lines: Readonly<Record<string, unknown>>[] = [];

  /** The order lease holder's answer; undefined if it cannot be reached. */
  answer: (target: Target) => FindAnswer | undefined = () => undefined;

  private readonly conditions = new Map<string, Condition>();

  /** When upstreams that have asked for a pause may be sent requests again. */
  private readonly blockedUntilMs = new Map<string, Ms>();

  private readonly fleet = new Fleet('z', {
    blockOf: ({ id }, nowMs) => {
      const opensInMs = (this.blockedUntilMs.get(id) ?? 0) - nowMs;
      return opensInMs > 0 ? { reason: 'paused', opensInMs } : undefined;
    },
    maySend: () => true,
    wanted: ignore,
    useSlot: ignore,
  });

  private readonly meter = new DemandMeter('e', 'a');

  private readonly serving: Serving;

  private requestCount = 0;

  /** Number of runs that were recorded as a crash of their upstream. */
  crashCount = 0;

  /** Number of questions to the order lease holder. */
  askCount = 0;

  constructor(
    private readonly origin: Partial<StreamOrigin> = {},
    limits: BudgetLimits = { ratio: 10, slack: 100 },
  ) {
    const { clock, fleet, meter } = this;
    const log = {
      info: (message: string, fields: Readonly<Record<string, unknown>> = {}) => {
        if (message === 'request') this.lines.push(fields);
      },
      warn: ignore,
      error: ignore,
    };
    const ask = (target: Target) => {
      this.askCount += 1;
      return Promise.resolve(this.answer(target));
    };
    const finder = new TargetFinder({ clock, log, fleet, meter, ask, ordersInMs: () => 0 });
    const budgets = new RetryBudgets({
      clock,
      ...limits,
      windowMs: 1000,
      parts: () => 1,
    });
    this.serving = fakeServing({
      clock,
      fleet,
      log,
      origins: { find: () => Promise.resolve(this.found()), record: ignore } as never,
      poison: {
        isIdle: true,
        answered: ignore,
        recordCrash: () => {
          this.crashCount += 1;
        },
      } as never,
      link: { send: this.send.bind(this) } as unknown as UpstreamLink,
      decideAccess: () => ({ type: 'allowed', route: ROUTE }) as never,
      budgetOf: (service) => budgets.of(service),
      takenUp: (end) => this.counted.push(end),
      waitForTarget: (target, waiter) => finder.waitForTarget(target, waiter),
    });
  }

  /** Number of requests that the entry reports as waiting for a model. */
  get waiting(): number {
    return this.meter.report().models.reduce((sum, { waiting }) => sum + waiting, 0);
  }

  /** Lists an upstream, or changes what is listed of it. */
  list(id: string, softwareVersion: string, models: readonly ModelId[] = []): void {
    const none = () => ({ version: 1, adapters: new Set<string>() });
    const info = {
      id,
      service: SERVICE,
      address: id,
      availabilityZone: 'z',
      slots: 100,
      isLeaving: false,
      softwareVersion,
      models: new Map(models.map((model) => [model, none()])),
      warm: new Set(),
      onDisk: new Set(),
    };
    this.fleet.put(info as unknown as Upstream);
  }

  unlist(id: string): void {
    this.fleet.remove(id as UpstreamId);
  }

  /** Keeps requests from an upstream until then. */
  block(id: string, untilMs: Ms): void {
    this.blockedUntilMs.set(id, untilMs);
  }

  /** Records that an upstream has answered another request. */
  answerAnother(id: string): void {
    const state = this.fleet.get(id as UpstreamId)!;
    this.fleet.recordOutcome(state, 'answered', { service: SERVICE }, this.clock.nowMs());
  }

  setCondition(id: string, condition: Condition): void {
    this.conditions.set(id, condition);
  }

  /** Starts a request that takes a stream up, and returns what its caller does to leave. */
  takeUp(): () => void {
    return this.start({ model: MODEL, resumeAfter: '1', resumes: 'first' });
  }

  /** Starts a request for a new stream. */
  begin(model: ModelId = MODEL): () => void {
    return this.start({ model });
  }

  private start(fields: Readonly<Record<string, string>>): () => void {
    this.requestCount += 1;
    let leave = ignore;
    const request = {
      id: `r${this.requestCount}`,
      path: '/',
      headers: [],
      sharedParts: [],
      body: Buffer.alloc(0),
      ...fields,
      arrivedAtMs: this.clock.nowMs(),
    };
    const caller = {
      request,
      isPresent: true,
      begin: (status: number) => this.over({ status }),
      refuse: ({ status, type, retryAfterMs }: Refusal) =>
        this.over({ status, type, retryAfterMs }),
      write: () => true,
      end: ignore,
      cut: () => this.cutAtMs.push(this.clock.nowMs()),
      onFree: ignore,
      onGone: (act: () => void) => {
        leave = act;
      },
      charge: () => undefined,
      isMemoryShort: false,
      onEvict: () => undefined,
      whenPresent: (act: () => void) => act(),
    };
    const charge = { cost: 0, covers: () => true, settle: ignore };
    const admitted = { caller, route: ROUTE, charge } as unknown as Admitted;
    new Run(this.serving, admitted, ignore).start();
    return () => leave();
  }

  async pass(ms: Ms): Promise<void> {
    const untilMs = this.clock.nowMs() + ms;
    while (this.clock.nowMs() < untilMs) {
      for (let round = 0; round < 20; round += 1) await Promise.resolve();
      this.clock.advanceTo(Math.min(untilMs, this.clock.nowMs() + STEP_MS));
    }
  }

  private over(end: Omit<Ended, 'atMs'>): void {
    this.ended.push({ ...end, atMs: this.clock.nowMs() });
  }

  private found(): { origin: StreamOrigin; source: 'own'; ageMs: Ms } {
    const origin = {
      service: SERVICE,
      softwareVersion: 'v1',
      weightsVersion: undefined,
      ...this.origin,
    };
    return { origin, source: 'own', ageMs: 0 };
  }

  private send({ upstream, maySend }: Call, receiver: Receiver): ReturnType<UpstreamLink['send']> {
    const sent = { isSent: false, received: UNREAD, cancel: ignore, resume: ignore };
    const condition = this.conditions.get(upstream) ?? 'serving';
    this.sends.push(upstream);
    const fail = (type: 'upstream-unreachable' | 'request-unsendable') =>
      receiver.failed({ type, detail: '', mayHaveRun: false });
    if (condition === 'unsendable') void Promise.resolve().then(() => fail('request-unsendable'));
    else if (condition === 'down') this.clock.after(ANSWER_MS, () => fail('upstream-unreachable'));
    else if (maySend()) {
      sent.isSent = true;
      this.clock.after(ANSWER_MS, () => this.respond(condition, receiver));
    }
    return sent;
  }

  private respond(condition: Condition, receiver: Receiver): void {
    if (condition === 'crashing') {
      receiver.failed({ type: 'upstream-lost', detail: '', mayHaveRun: true });
      return;
    }
    const isBreaking = condition === 'breaking';
    const isNotRun = !['serving', 'breaking', 'eventless'].includes(condition);
    const status = { serving: 200, empty: 421, full: 503 }[condition as 'empty'] ?? 200;
    const headers = isBreaking ? ['Content-Type', 'text/event-stream'] : [];
    receiver.head({
      status,
      headers,
      isNotRun,
      isForRequest: true,
      hasLength: condition === 'eventless',
    });
    if (isNotRun) return;
    if (isBreaking) {
      receiver.data(Buffer.from('id: 1\ndata: x\n\n'));
      const failure = { type: 'upstream-lost', detail: '', mayHaveRun: true } as const;
      this.clock.after(BREAK_MS, () => receiver.failed(failure));
      return;
    }
    if (condition !== 'eventless') receiver.data(Buffer.from('id: 2\ndata: x\n\n'));
    receiver.end();
  }
}

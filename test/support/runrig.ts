import { VirtualClock } from '../../src/base/index.js';
import type { ServiceId, UpstreamId, ModelId, Ms, RequestId } from '../../src/base/index.js';
import { fitsStop, type AnswerTimes } from '../../src/core/plannedstop/index.js';
import type { Route } from '../../src/core/routetable/index.js';
import type { Upstream } from '../../src/core/upstreams/index.js';
import type { Refusal } from '../../src/direct/index.js';
import { RetryBudgets } from '../../src/direct/retrybudgets.js';
import { Fleet } from '../../src/direct/route/index.js';
import { Run } from '../../src/direct/run/index.js';
import { Waitline } from '../../src/direct/waitline/index.js';
import type { Serving } from '../../src/direct/serving.js';
import type { UpstreamLink } from '../../src/port/index.js';
import { fakeServing } from './fakeserving.js';

const UNREAD = { bytes: 0, pieces: 0 };

type Call = Parameters<UpstreamLink['send']>[0];
type Receiver = Parameters<UpstreamLink['send']>[1];
type Admitted = ConstructorParameters<typeof Run>[1];

/** A request that reached an upstream. */
interface Arrival {
  readonly requestId: RequestId;
  readonly upstream: UpstreamId;
  readonly atMs: Ms;
}

const SERVICE = 's' as ServiceId;
const MODEL = 'm1' as ModelId;
const WAIT_MS = 30_000;
const ANSWER_MS = 1;
const SETTLE_TURNS = 3;
const ROUTE: Route = {
  name: 'lookup',
  host: 'h',
  pathPrefix: '/',
  kind: 'idempotent',
  timeoutMs: WAIT_MS,
  targetLatencyMs: WAIT_MS,
  gapTargetMs: WAIT_MS,
  priority: 0,
  destinations: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 3,
  isPublic: true,
  isResumable: false,
};

/** Runs requests for one model in virtual time, at upstreams that answer or refuse. */
export class RunRig {
  readonly clock = new VirtualClock();

  readonly arrivals: Arrival[] = [];

  readonly requestTimes: Ms[] = [];

  /** Status of each request that has ended. */
  readonly statuses: number[] = [];

  /** When the callers that were refused are told to come back. */
  readonly retryAfterMs: (Ms | undefined)[] = [];

  /** Upstreams that refuse each request without running it. */
  readonly refusing = new Set<string>();

  /** In a planned stop: from when on no request is sent, and when requests without a complete answer are ended. */
  stop: { readonly sendsUntilMs: Ms; readonly endsAtMs: Ms } | undefined;

  /** Answers that the entry has seen so far. */
  answerTimes: AnswerTimes | undefined;

  private readonly runs: Run[] = [];

  /** Upstreams whose answers are rejected. */
  readonly rejecting = new Set<string>();

  /** Upstreams whose answers begin and have no end. */
  readonly endless = new Set<string>();

  /** Time that an answer takes. */
  answerMs: Ms = ANSWER_MS;

  /** Messages of the entry's log, and the upstreams that they name. */
  readonly lines: { readonly message: string; readonly upstream: unknown }[] = [];

  /** Time that a new connection to an upstream takes; 0: there is an open one. */
  openMs: Ms = 0;

  readonly fleet = new Fleet('z');

  private readonly serving: Serving;

  private loaded: (() => void)[] = [];

  private requestCount = 0;

  private readonly route: Route;

  constructor(
    readonly bound: { ratio: number; slack: number; windowMs: Ms },
    route: Partial<Route> = {},
  ) {
    const { clock, fleet } = this;
    this.route = { ...ROUTE, ...route };
    const write = (message: string, { upstream }: { readonly upstream?: unknown } = {}) => {
      this.lines.push({ message, upstream });
    };
    const budgets = new RetryBudgets({ clock, ...bound, parts: () => 1 });
    const log = { info: write, warn: write, error: write };
    const metrics = { count() {}, gauge() {}, histogram() {}, remove() {} };
    this.serving = fakeServing({
      clock,
      fleet,
      link: { send: this.send.bind(this) } as unknown as UpstreamLink,
      log,
      waitline: new Waitline({ clock, fleet, log, metrics, waiting() {} }),
      decideAccess: () => ({ type: 'allowed', route: this.route }) as never,
      budgetOf: (service) => budgets.of(service),
      waitForTarget: () =>
        new Promise((resolve) => {
          this.loaded.push(() => resolve({ type: 'ready' }));
        }),
      fitsStop: (_route, _model, remainingMs) =>
        fitsStop({
          times: this.answerTimes,
          remainingMs,
          leftMs: (this.stop?.endsAtMs ?? Infinity) - clock.nowMs(),
          isRepeatable: true,
        }),
    });
    Object.defineProperty(this.serving, 'mayWait', {
      get: () => clock.nowMs() < (this.stop?.sendsUntilMs ?? Infinity),
    });
  }

  /** Arrivals beyond the first of each request. */
  get retryTimes(): Ms[] {
    const seen = new Set<RequestId>();
    const times: Ms[] = [];
    for (const { requestId, atMs } of this.arrivals) {
      if (seen.has(requestId)) times.push(atMs);
      seen.add(requestId);
    }
    return times;
  }

  /** Adds an upstream that has the model. */
  add(id: string, slots = 1000): void {
    const models = new Map([[MODEL, { version: 1, adapters: new Set<string>() }]]);
    const info = { id, service: SERVICE, address: id, availabilityZone: 'z', slots };
    this.fleet.put({ ...info, isLeaving: false, models } as unknown as Upstream);
  }

  remove(id: string): void {
    this.fleet.remove(id as UpstreamId);
  }

  /** Ends the wait of all requests that wait for an upstream with the model. */
  async setLoaded(): Promise<void> {
    const { loaded } = this;
    this.loaded = [];
    for (const resolve of loaded) resolve();
    await this.settle();
  }

  /** Has all requests checked that may be too late for the stop, as an entry does in each of its ticks. */
  refuseLate(): void {
    for (const run of this.runs) run.refuseIfLate();
  }

  /** Ends all requests, as a stop does when its time is over. */
  endNow(): void {
    for (const run of this.runs) run.endNow();
  }

  /** Starts requests and runs until those that do not wait have ended. */
  async ask(count: number): Promise<void> {
    for (let at = 0; at < count; at += 1) this.start();
    await this.pass(10 * ANSWER_MS + 2 * this.openMs);
  }

  async pass(ms: Ms): Promise<void> {
    this.clock.advanceTo(this.clock.nowMs() + ms);
    await this.settle();
  }

  /** Waits for what an entry does after everything that has arrived was read. */
  private async settle(): Promise<void> {
    for (let turn = 0; turn < SETTLE_TURNS; turn += 1) await new Promise(setImmediate);
  }

  start(): void {
    this.requestCount += 1;
    const arrivedAtMs = this.clock.nowMs();
    this.requestTimes.push(arrivedAtMs);
    const ignore = () => {};
    const request = {
      id: `r${this.requestCount}`,
      path: '/',
      headers: [],
      sharedParts: [],
      body: Buffer.alloc(0),
      model: MODEL,
      arrivedAtMs,
    };
    const caller = {
      request,
      isPresent: true,
      begin: (status: number) => this.statuses.push(status),
      refuse: ({ status, retryAfterMs }: Refusal) => {
        this.statuses.push(status);
        this.retryAfterMs.push(retryAfterMs);
      },
      write: () => true,
      end: ignore,
      cut: ignore,
      onFree: ignore,
      onGone: ignore,
      charge: () => undefined,
      isMemoryShort: false,
      onEvict: () => undefined,
      whenPresent: (act: () => void) => act(),
    };
    const charge = { cost: 0, covers: () => true, settle: ignore };
    const admitted = { caller, route: this.route, charge } as unknown as Admitted;
    const run = new Run(this.serving, admitted, ignore);
    this.runs.push(run);
    run.start();
  }

  private send(call: Call, receiver: Receiver): ReturnType<UpstreamLink['send']> {
    const sent = { isSent: false, received: UNREAD, cancel() {}, resume() {} };
    const write = () => {
      if (!call.maySend()) {
        receiver.failed({ type: 'request-withheld', detail: '', mayHaveRun: false });
        return;
      }
      sent.isSent = true;
      this.arrive(call, receiver);
    };
    if (this.openMs > 0) this.clock.after(this.openMs, write);
    else write();
    return sent;
  }

  private arrive({ requestId, upstream }: Call, receiver: Receiver): void {
    this.arrivals.push({ requestId, upstream, atMs: this.clock.nowMs() });
    if (this.rejecting.has(upstream)) {
      const failure = { type: 'upstream-wrong-answer', detail: 'No answer.' } as const;
      this.clock.after(ANSWER_MS, () => receiver.failed({ ...failure, mayHaveRun: true }));
      return;
    }
    const isEndless = this.endless.has(upstream);
    this.clock.after(isEndless ? ANSWER_MS : this.answerMs, () => {
      const isNotRun = this.refusing.has(upstream);
      const status = isNotRun ? 503 : 200;
      receiver.head({
        status,
        headers: [],
        isNotRun,
        isForRequest: true,
        hasLength: true,
      });
      if (isEndless) receiver.data(Buffer.from('data: '));
      if (isEndless || isNotRun) return;
      receiver.data(Buffer.from('data: x\n\n'));
      receiver.end();
    });
  }
}

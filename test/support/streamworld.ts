import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ModelId, Ms, RequestId, ServiceId } from '../../src/base/index.js';
import type { Route, RouteTable } from '../../src/core/routetable/index.js';
import { DemandMeter } from '../../src/direct/orders/index.js';
import { RetryBudgets } from '../../src/direct/retrybudgets.js';
import type { Target } from '../../src/direct/route/index.js';
import { Run } from '../../src/direct/run/index.js';
import type { Serving } from '../../src/direct/serving.js';
import { TargetFinder } from '../../src/direct/targetfinder.js';
import type { UpstreamLink } from '../../src/port/index.js';
import { fakeServing } from './fakeserving.js';
import type { ListEntry } from './listentry.js';
import type { ListServer } from './listserver.js';
import { ListWorld } from './listworld.js';
import { StreamPlaces } from './streamplaces.js';

const UNREAD = { bytes: 0, pieces: 0 };

type WorldOptions = ConstructorParameters<typeof ListWorld>[0];
type Call = Parameters<UpstreamLink['send']>[0];
type Receiver = Parameters<UpstreamLink['send']>[1];
type Admitted = ConstructorParameters<typeof Run>[1];

interface StreamWorldOptions extends Omit<WorldOptions, 'softwareVersion'> {
  /** Time from one release to the next; Infinity: one version alone serves. */
  readonly releaseEveryMs: Ms;
  /** Versions that servers start with between two releases; 2 if not set. */
  readonly versionsAtOnce?: number;
  /** Mean time after which a caller loses its connection. */
  readonly lossMs?: Ms;
  /** Set if the servers are engines with models, which are planned and lost. */
  readonly places?: {
    /** Mean number of servers in a minute that crash with the only replica of their version and come back empty. */
    readonly lostPerMinute: number;
    /** False plants a defect: the plan does not know software versions. */
    readonly knowsVersions?: boolean;
    /** False plants a defect: streams wait for a load no longer than new requests. */
    readonly holdsStreams?: boolean;
  };
  /** Time without an event after which a caller leaves; 2 s if not set. */
  readonly patienceMs?: Ms;
  /** Longest time until a server's first event; a tenth of a second if not set. */
  readonly firstEventMs?: Ms;
  /** Share of the runs that break before their first event, so that the entry sends the request elsewhere. */
  readonly earlyLoss?: number;
  /** Plants a defect: an entry tells with what a stream begins when it sends the request. */
  readonly tellsAtSend?: boolean;
  /** Number of tries of a caller; 3 if not set. */
  readonly maxTries?: number;
}

/** A stream as its caller sees it, over all its tries. */
interface Stream {
  readonly name: string;
  readonly length: number;
  readonly model: ModelId | undefined;
  readonly untilMs: Ms;
  lastId: number;
  /** Request that the first event came with. */
  first: RequestId | undefined;
  readonly versions: Set<string>;
  tries: number;
  /** True from the first judged request until the stream begins, and after a break until it goes on. */
  isWaiting: boolean;
  isOver: boolean;
}

/** One request of a caller. */
interface Try {
  readonly entry: ListEntry;
  readonly isTakingUp: boolean;
  /** True if both rules bind the entry and, where the stream is taken up, two servers of its version serve. */
  readonly isJudged: boolean;
  hasEvents: boolean;
}

/** A run of a request at a server. */
interface ServerRun {
  readonly server: ListServer;
  /** Start of the server that runs it. */
  readonly start: number;
  readonly fail: () => void;
}

const SERVICE = 's' as ServiceId;
const TIMEOUT_MS = 12_000;
const ROUTE: Route = {
  name: 'streams',
  host: 'h',
  pathPrefix: '/',
  kind: 'streaming',
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: 1000,
  gapTargetMs: 1000,
  priority: 0,
  destinations: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};
const TABLE = {
  version: 1,
  routesByHost: new Map([['h', [ROUTE]]]),
  services: new Map(),
} as unknown as RouteTable;
const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'] as ModelId[];
/** A server that has crashed comes back after at most this long. */
const DOWN_MS = 3000;
const STEP_MS = 10;
const MS_PER_MINUTE = 60_000;
const REPORT_MS = 100;
const START_EVERY_MS = 100;
const EVENT_MS = 100;
const MAX_EVENTS = 50;
const MAX_TRIES = 3;
const OPEN_MS = 20;
const LATENCY_MS = 2;
/** A caller takes its stream up after at most this long. */
const RETRY_MS = 400;
/** A caller leaves after this long without an event. */
const PATIENCE_MS = 2000;
const LOSS_MS = 6000;
const HEAD = { status: 200, headers: [], isNotRun: false, isForRequest: true, hasLength: false };
const ignore = () => {};

/** Streams at entries that follow the list of servers of several software versions; callers take cut ones up. */
export class StreamWorld {
  readonly list: ListWorld;

  readonly findings: string[] = [];

  /** New streams, and taken up ones where both rules bind the entry: how many, and how many got events. */
  readonly begun = { count: 0, served: 0 };

  readonly takenUp = { count: 0, served: 0 };

  /** The same by streams: each counts once until it begins, and once after each break, however often it is tried. */
  readonly waits = { begun: { count: 0, served: 0 }, takenUp: { count: 0, served: 0 } };

  private readonly generator;

  private readonly streams: Stream[] = [];

  private readonly runs = new Set<ServerRun>();

  private readonly servings = new Map<ListEntry, { fleet: unknown; serving: Serving }>();

  private readonly cutters = new Map<ListEntry, Set<() => void>>();

  private readonly places: StreamPlaces | undefined;

  private readonly modelOf = new Map<RequestId, ModelId | undefined>();

  private requestCount = 0;

  private readonly due = { report: 0, start: 0 };

  constructor(private readonly options: StreamWorldOptions) {
    const { seed, releaseEveryMs, versionsAtOnce = 2 } = options;
    this.generator = xoroshiro128plus(seed + 1_000_000);
    let nowMs = () => 0;
    const softwareVersion = () => {
      const release = Number.isFinite(releaseEveryMs) ? Math.floor(nowMs() / releaseEveryMs) : 0;
      return `v${Math.max(0, release - Math.floor(this.random(versionsAtOnce)))}`;
    };
    this.list = new ListWorld({ ...options, softwareVersion });
    nowMs = () => this.list.clock.nowMs();
    const members = this.list.entries.map(({ name }, at) => ({
      entry: name,
      address: name,
      availabilityZone: `z${at % 2}`,
    }));
    for (const entry of this.list.entries) {
      Object.assign(entry, { members, table: TABLE });
      entry.history.table(TABLE, 0);
    }
    const { places } = options;
    if (places) {
      const { clock, servers } = this.list;
      const { knowsVersions = true } = places;
      this.places = new StreamPlaces({ clock, servers, models: MODELS, knowsVersions });
    }
    this.list.onStep = () => this.step();
  }

  async run(forMs: Ms): Promise<void> {
    await this.list.run(forMs);
    for (const { name, versions } of this.streams) {
      if (versions.size > 1) this.findings.push(`${name}: ${[...versions].join()}`);
    }
  }

  private random(below: number): number {
    return uniformFloat64(this.generator) * below;
  }

  private step(): void {
    const nowMs = this.list.clock.nowMs();
    this.cutStopped();
    this.changePlaces();
    if (nowMs >= this.due.report) {
      this.due.report = nowMs + REPORT_MS;
      for (const entry of this.list.entries) entry.tick();
    }
    if (nowMs >= this.due.start) {
      this.due.start = nowMs + START_EVERY_MS;
      this.startStream();
    }
  }

  private changePlaces(): void {
    if (!this.places) return;
    this.places.step();
    const { lostPerMinute } = this.options.places!;
    if (this.random(MS_PER_MINUTE) >= lostPerMinute * STEP_MS) return;
    const only = this.places.only();
    const lost = only[Math.floor(this.random(only.length))];
    lost?.crashAndReturn(this.random(DOWN_MS));
  }

  /** Breaks the runs of servers that have stopped, and the connections to entries whose process has ended. */
  private cutStopped(): void {
    for (const run of [...this.runs]) {
      const { isServing, startCount } = run.server;
      if (!isServing || startCount !== run.start) run.fail();
    }
    for (const [entry, { fleet }] of this.servings) {
      if (fleet === entry.fleet) continue;
      this.servings.delete(entry);
      for (const cut of [...(this.cutters.get(entry) ?? [])]) cut();
    }
  }

  private startStream(): void {
    const stream: Stream = {
      name: `stream-${this.streams.length}`,
      length: 5 + Math.floor(this.random(MAX_EVENTS)),
      model: this.places && MODELS[Math.floor(this.random(MODELS.length))],
      untilMs: this.list.clock.nowMs() + TIMEOUT_MS,
      lastId: 0,
      first: undefined,
      versions: new Set(),
      tries: 0,
      isWaiting: false,
      isOver: false,
    };
    this.streams.push(stream);
    this.send(stream);
  }

  /** Sends a request for the stream, or for its rest. */
  private send(stream: Stream): void {
    const { clock, entries } = this.list;
    const entry = entries[Math.floor(this.random(entries.length))]!;
    Object.assign(stream, { tries: stream.tries + 1 });
    const isTakingUp = stream.lastId > 0;
    const isJudged = this.isJudged(entry, stream);
    const attempt: Try = { entry, isTakingUp, isJudged, hasEvents: false };
    if (isJudged) (isTakingUp ? this.takenUp : this.begun).count += 1;
    if (isJudged && !stream.isWaiting) {
      Object.assign(stream, { isWaiting: true });
      this.waits[isTakingUp ? 'takenUp' : 'begun'].count += 1;
    }
    const inMs = LATENCY_MS;
    clock.after(inMs, () => {
      void entry.whenRunning().then(() => this.accept(stream, attempt));
    });
  }

  private isJudged(entry: ListEntry, { lastId, versions }: Stream): boolean {
    if (!this.list.isStable() || !this.list.isInTouch(entry)) return false;
    const [version] = versions;
    const peers = this.list.servers.filter(
      ({ isReady, listedSinceMs, softwareVersion }) =>
        isReady && listedSinceMs < Infinity && (lastId === 0 || softwareVersion === version),
    );
    return peers.length >= 2;
  }

  private accept(stream: Stream, attempt: Try): void {
    const { clock } = this.list;
    const { entry } = attempt;
    const cutters = this.cutters.get(entry) ?? new Set();
    this.cutters.set(entry, cutters);
    const subject = stream;
    const { fleet } = entry;
    const { patienceMs = PATIENCE_MS } = this.options;
    let isOver = false;
    let gone = ignore;
    let lastMs = clock.nowMs();
    let cut = ignore;
    const end = (isRetried: boolean) => {
      if (isOver) return;
      isOver = true;
      cutters.delete(cut);
      if (isRetried) this.retry(stream);
      else subject.isOver = true;
    };
    // The connection is lost, and both sides notice.
    cut = () => {
      end(true);
      if (fleet === entry.fleet) gone();
    };
    const watch = () => {
      if (isOver) return;
      if (clock.nowMs() - lastMs >= patienceMs) cut();
      else clock.after(PATIENCE_MS / 8, watch);
    };
    cutters.add(cut);
    clock.after(this.lossInMs(), cut);
    clock.after(PATIENCE_MS / 8, watch);
    this.requestCount += 1;
    const id = `r${this.requestCount}` as RequestId;
    this.modelOf.set(id, stream.model);
    const received = (chunk: Buffer) => {
      if (isOver) return true;
      lastMs = clock.nowMs();
      this.receive(stream, attempt, id, chunk.toString());
      if (stream.lastId >= stream.length) {
        end(false);
        gone();
      }
      return true;
    };
    const request = {
      id,
      host: 'h',
      method: 'POST',
      path: '/',
      headers: [],
      sharedParts: [],
      body: Buffer.alloc(0),
      model: stream.model,
      deadlineMs: Math.max(1, stream.untilMs - clock.nowMs()),
      resumeAfter: stream.lastId > 0 ? String(stream.lastId) : undefined,
      resumes: stream.first,
      arrivedAtMs: clock.nowMs(),
    };
    const caller = {
      request,
      isPresent: true,
      begin: ignore,
      refuse: () => end(true),
      write: received,
      end: () => end(true),
      cut: () => end(true),
      onFree: ignore,
      onGone: (act: () => void) => {
        gone = act;
      },
      charge: () => undefined,
      isMemoryShort: false,
      onEvict: () => undefined,
      whenPresent: (act: () => void) => act(),
    };
    const charge = { cost: 0, covers: () => true, settle: ignore };
    const admitted = { caller, route: ROUTE, charge } as unknown as Admitted;
    new Run(this.servingOf(entry), admitted, ignore).start();
  }

  private lossInMs(): Ms {
    const { lossMs = LOSS_MS } = this.options;
    return lossMs * -Math.log(1 - this.random(1));
  }

  private retry(stream: Stream): void {
    const { clock } = this.list;
    const { maxTries = MAX_TRIES } = this.options;
    if (stream.tries >= maxTries || clock.nowMs() >= stream.untilMs) return;
    clock.after(this.random(RETRY_MS), () => this.send(stream));
  }

  private receive(stream: Stream, attempt: Try, id: RequestId, text: string): void {
    const subject = stream;
    const judged = attempt;
    for (const [, event, version] of text.matchAll(/id: (\d+)\ndata: (v\d+)\n/g)) {
      if (Number(event) !== subject.lastId + 1) {
        this.findings.push(`${stream.name}: ${event} after ${subject.lastId}`);
      }
      subject.lastId = Number(event);
      subject.first ??= id;
      subject.versions.add(version!);
    }
    if (subject.isWaiting) this.waits[attempt.isTakingUp ? 'takenUp' : 'begun'].served += 1;
    subject.isWaiting = false;
    if (judged.hasEvents || !judged.isJudged) return;
    judged.hasEvents = true;
    (judged.isTakingUp ? this.takenUp : this.begun).served += 1;
  }

  private servingOf(entry: ListEntry): Serving {
    const known = this.servings.get(entry);
    if (known?.fleet === entry.fleet) return known.serving;
    const clock = entry.ownClock();
    const bound = { ratio: 10, slack: 10_000, windowMs: 1000 };
    const budgets = new RetryBudgets({ clock, ...bound, parts: () => 1 });
    const { fleet, origins } = entry;
    const meter = new DemandMeter(entry.name, entry.name);
    const log = { info: ignore, warn: ignore, error: ignore };
    const ask = (target: Target) => entry.call(() => this.places!.find(target));
    const finder = new TargetFinder({ clock, log, fleet, meter, ask, ordersInMs: () => 0 });
    const held = this.options.places?.holdsStreams === false ? { isContinued: false } : {};
    const serving = fakeServing({
      clock,
      fleet,
      origins,
      link: { send: (...args: [Call, Receiver]) => this.link(entry, ...args) } as never,
      table: TABLE,
      decideAccess: () => ({ type: 'allowed', route: ROUTE }) as never,
      budgetOf: (service) => budgets.of(service),
      waitForTarget: (target, waiter) => finder.waitForTarget(target, { ...waiter, ...held }),
    });
    this.servings.set(entry, { fleet, serving });
    return serving;
  }

  /** Sends a request of an entry's process to a server, on a connection that may have to be opened first. */
  private link(entry: ListEntry, call: Call, receiver: Receiver): ReturnType<UpstreamLink['send']> {
    const { clock, servers } = this.list;
    const { fleet } = entry;
    const sent = { isSent: false, received: UNREAD, cancel: ignore, resume: ignore };
    const server = servers.find(({ id }) => id === call.upstream)!;
    let isOver = false;
    sent.cancel = () => {
      isOver = true;
    };
    /** Delivers to the process that asked, while it runs. */
    const deliver = (act: () => void) => {
      void entry.whenRunning().then(() => {
        if (!isOver && fleet === entry.fleet) act();
      });
    };
    const write = () => {
      if (isOver || fleet !== entry.fleet) return;
      if (!server.isServing) {
        const failure = { type: 'upstream-unreachable', detail: '', mayHaveRun: false } as const;
        deliver(() => receiver.failed(failure));
        return;
      }
      if (!call.maySend()) {
        const failure = { type: 'request-withheld', detail: '', mayHaveRun: false } as const;
        deliver(() => receiver.failed(failure));
        return;
      }
      sent.isSent = true;
      if (this.options.tellsAtSend && call.resumeAfter === undefined) {
        const { softwareVersion } = server;
        const origin = { service: SERVICE, softwareVersion, weightsVersion: undefined };
        const stream = { id: call.requestId, route: ROUTE, model: undefined, origin };
        entry.origins.record({ ...stream, keepMs: TIMEOUT_MS });
      }
      this.serve(server, call, receiver, deliver);
    };
    if (this.random(1) < 0.5) write();
    else {
      clock.after(this.random(OPEN_MS), () => {
        void entry.whenRunning().then(write);
      });
    }
    return sent;
  }

  private serve(
    server: ListServer,
    call: Call,
    receiver: Receiver,
    deliver: (act: () => void) => void,
  ): void {
    const { clock } = this.list;
    const length = 5 + MAX_EVENTS;
    let next = Number(call.resumeAfter ?? 0) + 1;
    const run: ServerRun = {
      server,
      start: server.startCount,
      fail: () => {
        this.runs.delete(run);
        const failure = { type: 'upstream-lost', detail: '', mayHaveRun: true } as const;
        deliver(() => receiver.failed(failure));
      },
    };
    const model = this.modelOf.get(call.requestId);
    if (server.isEmpty || (model !== undefined && !server.holds(model))) {
      const refused = { ...HEAD, status: 421, isNotRun: true };
      deliver(() => receiver.head(refused));
      return;
    }
    this.runs.add(run);
    deliver(() => receiver.head(HEAD));
    const step = () => {
      if (!this.runs.has(run)) return;
      const event = `id: ${next}\ndata: ${server.softwareVersion}\n\n`;
      deliver(() => receiver.data(Buffer.from(event)));
      next += 1;
      if (next <= length) {
        clock.after(EVENT_MS, step);
        return;
      }
      this.runs.delete(run);
      deliver(() => receiver.end());
    };
    const { firstEventMs = EVENT_MS, earlyLoss = 0 } = this.options;
    const firstMs = firstEventMs * this.random(1);
    clock.after(firstMs, step);
    if (earlyLoss > 0 && this.random(1) < earlyLoss) {
      clock.after(this.random(firstMs), () => {
        if (this.runs.has(run)) run.fail();
      });
    }
  }
}

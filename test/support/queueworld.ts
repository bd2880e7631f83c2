import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { VirtualClock, type Ms, type ServiceId } from '../../src/base/index.js';
import { queueRules, type QueueState } from '../../src/core/admissionqueue/index.js';
import { RetryBudgets } from '../../src/direct/retrybudgets.js';
import { Fleet } from '../../src/direct/route/index.js';
import { Run } from '../../src/direct/run/index.js';
import type { Serving } from '../../src/direct/serving.js';
import { Waitline } from '../../src/direct/waitline/index.js';
import type { AskedRequest } from './askedrequest.js';
import { fakeServing } from './fakeserving.js';
import type { QueueKind } from './queuekind.js';
import { SlotEngine } from './slotengine.js';

interface QueueWorldOptions {
  readonly seed: number;
  /** Whether requests wait in queues (`on`) or by the timers of other services (`off`). */
  readonly mode: 'on' | 'off';
  readonly kinds: readonly QueueKind[];
  readonly slots: readonly number[];
  readonly customers: readonly string[];
  readonly entryCount?: number;
  /** Factor of the usual arrivals of a kind and customer. */
  readonly factor?: (kind: QueueKind, customer: string, nowMs: Ms) => number;
  /** How many times at once a refused caller repeats its request; absent: once, after the retry-after time. */
  readonly repeats?: number;
  /** How long it takes to find out that a caller is still connected; 0: it is known. */
  readonly confirmMs?: Ms;
  /** Parts of the entries that a test replaces. */
  readonly serving?: Partial<Serving>;
}

const SERVICE = 's' as ServiceId;
const GAP_TARGET_MS = 200;
/** A caller with less of its deadline left counts as one that returns, as for the detector of returns. */
const RETURN_SHARE = 0.9;
/** Rates of arrival are looked at again after this time. */
const RATE_MS = 100;
const ignore = () => {};
const PAID = { cost: 0, covers: () => true, settle: ignore };

/** Entries before shared engines of one model, with their callers, in virtual time. */
export class QueueWorld {
  readonly clock = new VirtualClock();

  readonly asked: AskedRequest[] = [];

  readonly logs: { readonly text: string; readonly fields: Record<string, unknown> }[] = [];

  /** Refusals at a moment at which the entry could have sent a request to an engine with a free slot. */
  refusedBesideFreeSlot = 0;

  /** Sends while a request of a more urgent rank, with aging, waited at the same entry. */
  overtakeCount = 0;

  /** Requests that the planner sees as waiting. */
  waitingCount = 0;

  readonly engines;

  readonly entries;

  private readonly generator;

  private requestCount = 0;

  constructor(private readonly options: QueueWorldOptions) {
    const { clock } = this;
    this.generator = xoroshiro128plus(options.seed);
    this.engines = options.slots.map((slots, at) => new SlotEngine(`e${at}`, slots, clock));
    const count = options.entryCount ?? 1;
    this.entries = Array.from({ length: count }, () => this.createEntry());
    for (const engine of this.engines) this.list(engine);
    for (const kind of options.kinds) {
      for (const customer of options.customers) this.arriveLater(kind, customer);
    }
  }

  /** Shows an engine, or that it is gone, to the entries whose list is up to date. */
  list({ id, slots }: SlotEngine, isThere = true, entries = this.entries): void {
    const models = new Map([['m', { version: 1, adapters: new Set() }]]);
    const info = { id, service: SERVICE, address: id, availabilityZone: 'z', slots, models };
    for (const { fleet, waitline } of entries) {
      if (isThere) fleet.put({ ...info, isLeaving: false } as never);
      else fleet.remove(id as never);
      waitline.wakeAll();
    }
  }

  /** Returns the share of the selected requests that got their first event in time. */
  onTime(test: (asked: AskedRequest) => boolean): number {
    const chosen = this.asked.filter(test);
    const good = chosen.filter(
      ({ end, endedAtMs, triedAtMs, kind }) =>
        end === '200' && endedAtMs! - triedAtMs <= kind.targetMs,
    );
    return good.length / Math.max(1, chosen.length);
  }

  /** Returns the share of the selected requests that got an answer. */
  served(test: (asked: AskedRequest) => boolean): number {
    const chosen = this.asked.filter(test);
    return chosen.filter(({ end }) => end === '200').length / Math.max(1, chosen.length);
  }

  ask(kind: QueueKind, customer: string, entry = 0, charge: object = PAID): AskedRequest {
    const tokens = kind.tokens[Math.floor(this.random() * kind.tokens.length)]!;
    const times = { arrivedAtMs: this.clock.nowMs(), triedAtMs: 0 };
    const open = { sentAtMs: undefined, endedAtMs: undefined, tries: 0, end: 'open' };
    const asked = { kind, customer, tokens, entry, charge, leave: ignore, ...times, ...open };
    this.asked.push(asked);
    this.start(asked);
    return asked;
  }

  private random(): number {
    return uniformFloat64(this.generator);
  }

  private createEntry() {
    const { clock, options } = this;
    const fleet = new Fleet('z');
    fleet.setLoadMode(options.mode);
    const info = (text: string, fields = {}) => this.logs.push({ text, fields });
    const log = { info, warn: ignore, error: ignore } as never;
    const metrics = { count: ignore, gauge: ignore, histogram: ignore };
    const waiting = (_target: unknown, change: 1 | -1) => {
      this.waitingCount += change;
    };
    const waitline = new Waitline({ clock, fleet, log, metrics, waiting });
    const bound = { ratio: 9, slack: 1e6, windowMs: 1e4 };
    const budgets = new RetryBudgets({ clock, ...bound, parts: () => 1 });
    const serving = fakeServing({
      clock,
      fleet,
      log,
      waitline,
      link: {
        send: (...args: Parameters<SlotEngine['send']>[0]) => this.send(args),
      } as never,
      decideAccess: ({ path }) => ({ type: 'allowed', route: this.routeOf(path) }) as never,
      budgetOf: (service) => budgets.of(service),
      isReturn: ({ timeoutMs }, deadlineMs) => deadlineMs! < timeoutMs * RETURN_SHARE,
      waitForTarget: () =>
        Promise.resolve({ type: 'unavailable', reason: 'no-upstream', detail: '' }),
      ...options.serving,
    });
    return { fleet, waitline, serving, runs: new Set<Run>() };
  }

  private routeOf(name: string) {
    const kind = this.options.kinds.find((one) => one.name === name)!;
    const { priority, targetMs: targetLatencyMs, deadlineMs: timeoutMs } = kind;
    const times = { timeoutMs, targetLatencyMs, gapTargetMs: GAP_TARGET_MS };
    const destinations = [{ service: SERVICE, weight: 1 }];
    const rules = { kind: 'streaming', maxAttempts: 2, isPublic: true, isResumable: false };
    return { name, host: 'h', pathPrefix: '/', priority, destinations, ...times, ...rules };
  }

  private arriveLater(kind: QueueKind, customer: string): void {
    const { factor = () => 1, customers, entryCount = 1 } = this.options;
    const perS = (factor(kind, customer, this.clock.nowMs()) * kind.perS) / customers.length;
    const waitMs = perS > 0 ? (-Math.log(1 - this.random()) / perS) * 1000 : Infinity;
    this.clock.after(Math.min(RATE_MS, waitMs), () => {
      if (waitMs <= RATE_MS) this.ask(kind, customer, Math.floor(this.random() * entryCount));
      this.arriveLater(kind, customer);
    });
  }

  /** Sends a caller's request to its entry. */
  private start(asked: AskedRequest): void {
    const draft = asked;
    const { kind, customer, tokens, charge } = asked;
    const { confirmMs = 0 } = this.options;
    const { serving, runs } = this.entries[asked.entry]!;
    const nowMs = this.clock.nowMs();
    this.requestCount += 1;
    draft.tries += 1;
    draft.triedAtMs = nowMs;
    const end = (text: string) => {
      // Another of several repeats has got its answer.
      if (asked.end === '200') return;
      draft.endedAtMs = this.clock.nowMs();
      draft.end = text;
    };
    const request = {
      id: `r${this.requestCount}/${this.asked.indexOf(asked)}`,
      path: kind.name,
      headers: [],
      sharedParts: [],
      body: Buffer.alloc(0),
      tokens,
      model: 'm',
      deadlineMs: kind.deadlineMs - (nowMs - asked.arrivedAtMs),
      arrivedAtMs: nowMs,
    };
    const caller = {
      request,
      isPresent: confirmMs === 0,
      begin: (status: number) => end(String(status)),
      refuse: ({ status, retryAfterMs }: { status: number; retryAfterMs?: Ms }) => {
        end(String(status));
        this.refused(asked, retryAfterMs);
      },
      write: () => true,
      end: ignore,
      cut: () => end('cut'),
      onFree: ignore,
      onGone: (act: () => void) => {
        draft.leave = act;
      },
      charge: () => undefined,
      isMemoryShort: false,
      onEvict: () => undefined,
      whenPresent: (act: () => void) => {
        this.clock.after(confirmMs, () => {
          caller.isPresent = true;
          act();
          caller.isPresent = false;
        });
      },
    };
    const admitted = { caller, route: this.routeOf(kind.name), customer: { id: customer }, charge };
    const run: Run = new Run(serving, admitted as never, () => runs.delete(run));
    runs.add(run);
    run.start();
  }

  private refused(asked: AskedRequest, retryAfterMs: Ms | undefined): void {
    const { fleet } = this.entries[asked.entry]!;
    const nowMs = this.clock.nowMs();
    const isFree = this.engines.some(({ id, slots, running, isFrozen }) => {
      const state = fleet.get(id as never);
      if (!state || isFrozen || running.size >= slots || fleet.isFull(state, false, nowMs)) {
        return false;
      }
      return !fleet.isPrefilling(state, GAP_TARGET_MS, nowMs);
    });
    if (isFree) this.refusedBesideFreeSlot += 1;
    if (asked.tries > 1 || retryAfterMs === undefined) return;
    const { repeats } = this.options;
    this.clock.after(repeats === undefined ? retryAfterMs : 1, () => {
      for (let at = 0; at < (repeats ?? 1); at += 1) this.start(asked);
    });
  }

  private send(args: Parameters<SlotEngine['send']>[0]): ReturnType<SlotEngine['send']> {
    const [call] = args;
    const asked = this.asked[Number(call.requestId.split('/')[1])]!;
    asked.sentAtMs ??= this.clock.nowMs();
    const { waitline } = this.entries[asked.entry]!;
    const { waiting } = Reflect.get(waitline, 'state') as QueueState;
    const { agingMs, ranksPerPriority } = queueRules;
    const agedBy = Math.floor((this.clock.nowMs() - asked.triedAtMs) / agingMs) * ranksPerPriority;
    const agedRank = Math.max(call.priority % ranksPerPriority, call.priority - agedBy);
    const ranks = [...waiting.values()].map(({ group }) => Math.floor(group / 2));
    if (ranks.some((rank) => rank < agedRank)) this.overtakeCount += 1;
    const engine = this.engines.find(({ id }) => id === call.upstream)!;
    return engine.send(args, asked.tokens * asked.kind.msPerToken);
  }
}

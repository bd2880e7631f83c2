import type { Call } from './call.js';
import { KeyChecker } from './keychecker.js';
import { RetryChecker } from './retrychecker.js';
import { ReportedStateChecker } from './reportedstatechecker.js';
import { PartChecker } from './partchecker.js';
import type { PartLoad } from './partload.js';
import { RouteChecker } from './routechecker.js';
import type { Site } from './site.js';
import { UnevenChecker } from './unevenchecker.js';
import type { UnevenLoad } from './unevenload.js';
import { StreamChecker } from './streamchecker.js';

/** A broken promise. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** Memory of the hosts that entries run on. */
const HOST_BYTES = 350 * 1_048_576;
const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: piece ${id}\n\n`);
/** Names the software that made an event; a stream of one version has the same everywhere. */
const MAKER = / by v[\d.]+$/gm;
const PLAIN = 'the whole answer';
/** Statuses by which the system promises that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const DEADLINE_MS = 4000;
const DRAIN_MS = 2000;
const APPLY_MS = 2000;
const CANCEL_MS = 500;
/** A time bound applies only if the entry and the store were undisturbed for this long before. */
const CALM_MS = 3000;
/** Later versions whose configurations still have a probe's route; a 404 proves nothing after that. */
const ROUTE_VERSIONS = 4;
/** Servers that have to end under a request before entries must withhold it. */
const ENDS_UNTIL_WITHHELD = 3;
/** Sends that are tolerated after that. */
const MAX_LATE_SENDS = 3;

/** One run of a request at a server. */
interface ServerRun {
  readonly server: string;
  readonly behavior: string;
  readonly customer: string | undefined;
  readonly hasCredential: boolean;
  readonly atMs: number;
  readonly closedAtMs: number | undefined;
  readonly drainAtMs: number | undefined;
}

/** Checks the system's promises against what callers and servers observed. */
export class PromiseChecker {
  private readonly breaches: Breach[] = [];

  private readonly runs = new Map<string, ServerRun[]>();

  constructor(
    private readonly site: Site,
    private readonly calls: readonly Call[],
    /** Time that is added to each bound, for a busy machine. */
    private readonly slackMs: number,
    private readonly deadly: PartLoad['deadly'] = [],
    private readonly swells: UnevenLoad['swells'] = [],
  ) {
    for (const { server, drainAtMs } of site.servers) {
      for (const { id, ...seen } of server.requestLog) {
        const runs = this.runs.get(id) ?? [];
        runs.push({ ...seen, server: server.id, drainAtMs });
        this.runs.set(id, runs);
      }
    }
  }

  /** Returns every breach. */
  judge(): readonly Breach[] {
    for (const call of this.calls) {
      this.once(call);
      this.refusal(call);
      this.answer(call);
      this.ended(call);
      this.stopped(call);
      this.left(call);
      this.drained(call);
      this.inForce(call);
    }
    this.noRevert();
    this.keys();
    this.routes();
    this.reportedStates();
    this.retries();
    this.streams();
    this.poison();
    this.parts();
    this.uneven();
    this.orders();
    for (const { name, unexpectedExits: ownEnds, peakBytes } of this.site.entries) {
      for (const detail of ownEnds) this.breach('no process exits unexpectedly', detail);
      if (peakBytes <= HOST_BYTES) continue;
      this.breach('a process stays within the memory of its host', `${name}: ${peakBytes} bytes`);
    }
    return this.breaches;
  }

  private keys(): void {
    const { site, slackMs } = this;
    new KeyChecker({
      site,
      slackMs,
      runsOf: (call) => this.runsOf(call),
      isCalm: (call, fromMs) => this.isCalm(call, fromMs),
      breach: (promise, detail) => this.breach(promise, detail),
    }).judge(this.calls);
  }

  private routes(): void {
    const { site, slackMs } = this;
    new RouteChecker({
      site,
      slackMs,
      serversOf: (call) => this.runsOf(call).map(({ server }) => server),
      isCalm: (call, fromMs) => this.isCalm(call, fromMs),
      breach: (promise, detail) => this.breach(promise, detail),
    }).judge(this.calls);
  }

  private reportedStates(): void {
    const { site, slackMs } = this;
    const breach = (promise: string, detail: string) => this.breach(promise, detail);
    new ReportedStateChecker({ site, slackMs, breach }, this.calls).judge();
  }

  private streams(): void {
    const { site } = this;
    new StreamChecker({
      site,
      isCalm: (call) => this.isCalm(call, call.sentAtMs),
      breach: (promise, detail) => this.breach(promise, detail),
    }).judge(this.calls);
  }

  private parts(): void {
    const { site, deadly, slackMs } = this;
    new PartChecker({
      site,
      deadly,
      slackMs,
      isCalm: (call, atMs) => this.isCalm(call, atMs),
      breach: (promise, detail) => this.breach(promise, detail),
    }).judge(this.calls);
  }

  private uneven(): void {
    const { site, swells } = this;
    const breach = (promise: string, detail: string) => this.breach(promise, detail);
    new UnevenChecker(site, swells, breach).judge(this.calls);
  }

  private retries(): void {
    const breach = (promise: string, detail: string) => this.breach(promise, detail);
    new RetryChecker({ site: this.site, breach }, this.calls).judge();
  }

  private breach(promise: string, detail: string): void {
    this.breaches.push({ promise, detail });
  }

  private runsOf(call: Call): readonly ServerRun[] {
    return this.runs.get(call.id) ?? [];
  }

  private isCalm(call: Call, fromMs: number): boolean {
    return this.site.entries[call.entry]!.isCalmSince(fromMs - CALM_MS) && this.isStoreCalm(fromMs);
  }

  private isStoreCalm(fromMs: number): boolean {
    return !this.site.storeDisturbedAtMs.some((atMs) => atMs > fromMs - CALM_MS);
  }

  /** Requests that must not be repeated run at most once. */
  private once(call: Call): void {
    const runs = this.runsOf(call);
    const isOnce = call.kind === 'charge' || call.kind === 'draft';
    if (isOnce && runs.length > 1) this.breach('runs at most once', `${call.id}: ${runs.length}`);
  }

  /** A refusal by which a request has not run is true. */
  private refusal(call: Call): void {
    const isOnce = call.kind === 'charge' || call.kind === 'draft';
    if (!isOnce || !NOT_RUN.has(call.status ?? 0) || this.runsOf(call).length === 0) return;
    // The answer of a server, passed on under its signature, is no refusal by the system.
    if (this.isOfEndless(call)) return;
    this.breach(
      'a request refused as "not run" has not run',
      `${call.id}: ${call.status}, but it ran`,
    );
  }

  /** True if a server signed the answer whose answer to this request had no end. */
  private isOfEndless(call: Call): boolean {
    return this.runsOf(call).some(
      ({ server, behavior }) => behavior === 'endless' && call.signature === `by-${server}`,
    );
  }

  /** An answer is signed by a server that ran this request, complete and in order. */
  private answer(call: Call): void {
    const { id, kind, status, signature, echoedId, isWhole } = call;
    // Its server crashes with its answer, which may look whole.
    if (kind === 'deadly') return;
    const body = call.body.replaceAll(MAKER, '');
    if (status === undefined) return;
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && signature === undefined) this.breach('answers are signed', `${id}: unsigned`);
    if (signature !== undefined && echoedId !== id) {
      this.breach('an answer belongs to its own request', `${id}: the answer names ${echoedId}`);
    }
    const isKnown = this.runsOf(call).some(({ server }) => signature === `by-${server}`);
    if (signature !== undefined && !isKnown) {
      this.breach(
        'an answer belongs to its own request',
        `${id}: signed ${signature}, which never ran it`,
      );
    }
    const isStream = kind === 'draft' || kind === 'batch';
    const expected = isStream ? EVENTS.slice(call.resumed?.lastEvent ?? 0).join('') : PLAIN;
    if (!isSuccess) return;
    if (isWhole && body !== expected) this.breach('answers are complete', `${id}: ${body}`);
    // Bytes of a server that sends without end may be passed on, but never as a whole answer.
    if (!isWhole && this.runsOf(call).some(({ behavior }) => behavior === 'endless')) return;
    if (!expected.startsWith(body)) this.breach('answers are in order', `${id}: ${body}`);
  }

  /** A request ends by its deadline unless its entry was interrupted. */
  private ended({ id, entry, sentAtMs, endedAtMs }: Call): void {
    const lastMs = sentAtMs + DEADLINE_MS + this.slackMs;
    if (endedAtMs !== undefined && endedAtMs <= lastMs) return;
    if (!this.site.entries[entry]!.isRunning(sentAtMs - CALM_MS, endedAtMs ?? Infinity)) return;
    this.breach('every request ends by its deadline', id);
  }

  /** A planned stop, a settings change or a new configuration must not cut a request that a server is serving. */
  private stopped(call: Call): void {
    const { entry, sentAtMs, endedAtMs = Infinity, status, isWhole, leftAtMs } = call;
    if (leftAtMs !== undefined || (status !== undefined && isWhole)) return;
    const [run, ...others] = this.runsOf(call);
    const isServed = run?.behavior === 'serve' || run?.behavior === 'slow';
    if (!isServed || others.length > 0) return;
    if (!this.site.entries[entry]!.isRunning(sentAtMs - CALM_MS, endedAtMs)) return;
    const isDisturbed = this.site.serversDisturbedAtMs.some(
      (atMs) => atMs > sentAtMs - CALM_MS && atMs < endedAtMs,
    );
    if (!isDisturbed) this.breach('no planned stop cuts a request', `${call.id}: ${call.error}`);
  }

  /** A server's work ends soon after the caller has disconnected. */
  private left(call: Call): void {
    const { leftAtMs } = call;
    if (leftAtMs === undefined) return;
    if (!this.site.entries[call.entry]!.isRunning(leftAtMs - CALM_MS, leftAtMs + CALM_MS)) return;
    for (const { behavior, closedAtMs, server, atMs } of this.runsOf(call)) {
      if (behavior !== 'silent') continue;
      const endMs = closedAtMs ?? Infinity;
      const lastMs = Math.max(leftAtMs, atMs) + CANCEL_MS + this.slackMs;
      if (endMs > lastMs) {
        this.breach('work ends when its caller disconnects', `${call.id} at ${server}`);
      }
    }
  }

  /** A server gets no new request some time after it was listed as draining. */
  private drained(call: Call): void {
    for (const { server, atMs, drainAtMs = Infinity } of this.runsOf(call)) {
      if (atMs <= drainAtMs + DRAIN_MS + this.slackMs || !this.isCalm(call, drainAtMs)) continue;
      this.breach('a draining server gets no new work', `${call.id} at ${server}`);
    }
  }

  /** A route is served shortly after the configuration with it was written. */
  private inForce(call: Call): void {
    const { id, kind, version, status, sentAtMs } = call;
    const acceptedAtMs = this.site.acceptedAtMs.get(version) ?? Infinity;
    if (kind !== 'probe' || status !== 404 || sentAtMs < acceptedAtMs + APPLY_MS + this.slackMs) {
      return;
    }
    if (this.hasRoute(call) && this.isCalm(call, acceptedAtMs)) {
      this.breach('a configuration takes effect within seconds', `${id}: version ${version}`);
    }
  }

  /** True if every version that may be in force by the call's end has the route that it requests. */
  private hasRoute({ version, endedAtMs = Infinity }: Call): boolean {
    for (const [accepted, atMs] of this.site.acceptedAtMs) {
      if (accepted > version + ROUTE_VERSIONS && atMs < endedAtMs) return false;
    }
    return true;
  }

  /** An entry that has served a version never goes back to an earlier one. */
  private noRevert(): void {
    const seenVersions = new Map<string, { version: number; atMs: number }[]>();
    for (const { kind, status, version, entry, startCount: life, endedAtMs } of this.calls) {
      if (kind !== 'probe' || status === undefined || status === 404) continue;
      if (status === 503 || endedAtMs === undefined) continue;
      const key = `${entry}/${life}`;
      seenVersions.set(key, [...(seenVersions.get(key) ?? []), { version, atMs: endedAtMs }]);
    }
    for (const call of this.calls) {
      if (call.kind !== 'probe' || call.status !== 404 || !this.hasRoute(call)) continue;
      const before = seenVersions.get(`${call.entry}/${call.startCount}`) ?? [];
      const earlier = before.find(
        ({ version, atMs }) => version >= call.version && atMs < call.sentAtMs,
      );
      if (!earlier) continue;
      this.breach(
        'a configuration never reverts',
        `${call.id}: ${call.version} after ${earlier.version}`,
      );
    }
  }

  /**
   * Once three servers have ended under a request and all entries had time to learn of it, undisturbed entries send
   * it on a few times at most.
   */
  private poison(): void {
    const entryOf = new Map(this.calls.map(({ id, entry }) => [id, entry]));
    const runs = this.site.servers.flatMap(({ server }) => server.requestLog);
    const paths = new Set(
      this.calls
        .filter(({ kind }) => kind === 'crash')
        .map(({ id }) => runs.find((run) => run.id === id)?.path),
    );
    for (const path of paths) {
      const own = runs.filter((run) => run.path === path).sort((a, b) => a.atMs - b.atMs);
      const ends = own.map(({ closedAtMs = Infinity }) => closedAtMs).sort((a, b) => a - b);
      const withheldAtMs = (ends[ENDS_UNTIL_WITHHELD - 1] ?? Infinity) + CALM_MS + this.slackMs;
      const late = own.filter(({ id, atMs }) => {
        const entry = this.site.entries[entryOf.get(id) ?? 0]!;
        return atMs > withheldAtMs && entry.isCalmSince(atMs - CALM_MS);
      });
      if (path === undefined || late.length <= MAX_LATE_SENDS) continue;
      const detail = `${path}: ${late.length} late of ${own.length} sends`;
      this.breach('a poison request is not sent on', detail);
    }
  }

  /** Engines stay within their memory and get orders from one order lease holder at a time. */
  private orders(): void {
    for (const { server } of this.site.servers) {
      if (server.overcommitCount > 0) this.breach('memory is never overcommitted', server.id);
      const orders = [...server.orderLog].sort((a, b) => a.atMs - b.atMs);
      for (const [at, { order, atMs }] of orders.entries()) {
        const before = orders[at - 1];
        if (!before || before.order.holder === order.holder) continue;
        const intervalMs = atMs - before.atMs;
        const names = `${before.order.holder}, ${order.holder} at ${server.id}`;
        if (intervalMs < this.site.orderLeaseMs) {
          this.breach('orders have one holder at a time', `${names}: ${Math.round(intervalMs)} ms`);
        }
        if (order.fencing_token <= before.order.fencing_token) {
          this.breach('fencing tokens rise', names);
        }
      }
    }
  }
}

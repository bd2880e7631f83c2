import type { Call } from './call.js';
import { KeyWitness } from './keywitness.js';
import { NeedWitness } from './needwitness.js';
import type { Site } from './site.js';

/** A promise that was broken. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

const EVENTS = [1, 2, 3, 4, 5].map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
const PLAIN = 'the whole answer';
/** Statuses that promise that a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const DEADLINE_MS = 4000;
const DRAIN_MS = 2000;
const APPLY_MS = 2000;
const GONE_MS = 500;
/** How long nothing may have been done to an entry, or the store, for a bound on it to hold. */
const CALM_MS = 3000;
/** Configurations keep the routes of this many versions: a refusal of an older one says nothing. */
const KEPT_VERSIONS = 4;
/** Servers that end under a request until it has to be known, and sends that may come after that. */
const ENDS_TO_KNOW = 3;
const MOST_LATE_SENDS = 3;

/** One run of a request at a server. */
interface Ran {
  readonly server: string;
  readonly behavior: string;
  readonly customer: string | undefined;
  readonly hasCredential: boolean;
  readonly atMs: number;
  readonly closedAtMs: number | undefined;
  readonly leavesAtMs: number | undefined;
}

/** Judges by what callers and servers have seen. */
export class Witness {
  private readonly breaches: Breach[] = [];

  private readonly ran = new Map<string, Ran[]>();

  constructor(
    private readonly site: Site,
    private readonly calls: readonly Call[],
    /** What a busy machine may add to each bound. */
    private readonly slackMs: number,
  ) {
    for (const { server, leavesAtMs } of site.listed) {
      for (const { id, ...seen } of server.requestLog) {
        const runs = this.ran.get(id) ?? [];
        runs.push({ ...seen, server: server.id, leavesAtMs });
        this.ran.set(id, runs);
      }
    }
  }

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
    this.neverBack();
    this.keys();
    this.needs();
    this.crashing();
    this.orders();
    for (const { ownEnds } of this.site.entries) {
      for (const detail of ownEnds) this.breach('no process ends by itself', detail);
    }
    return this.breaches;
  }

  private keys(): void {
    const { site, slackMs } = this;
    new KeyWitness({
      site,
      slackMs,
      runsOf: (call) => this.runsOf(call),
      isCalm: (call, fromMs) => this.isCalm(call, fromMs),
      breach: (promise, detail) => this.breach(promise, detail),
    }).judge(this.calls);
  }

  private needs(): void {
    const { site, slackMs } = this;
    const breach = (promise: string, detail: string) => this.breach(promise, detail);
    new NeedWitness({ site, slackMs, breach }, this.calls).judge();
  }

  private breach(promise: string, detail: string): void {
    this.breaches.push({ promise, detail });
  }

  private runsOf(call: Call): readonly Ran[] {
    return this.ran.get(call.id) ?? [];
  }

  private isCalm(call: Call, fromMs: number): boolean {
    return this.site.entries[call.entry]!.isCalmSince(fromMs - CALM_MS) && this.isStoreCalm(fromMs);
  }

  private isStoreCalm(fromMs: number): boolean {
    return !this.site.storeDisturbedAtMs.some((atMs) => atMs > fromMs - CALM_MS);
  }

  private once(call: Call): void {
    const runs = this.runsOf(call);
    const isOnce = call.kind === 'charge' || call.kind === 'draft';
    if (isOnce && runs.length > 1) this.breach('runs once at most', `${call.id}: ${runs.length}`);
  }

  private refusal(call: Call): void {
    const isOnce = call.kind === 'charge' || call.kind === 'draft';
    if (!isOnce || !NOT_RUN.has(call.status ?? 0) || this.runsOf(call).length === 0) return;
    this.breach('"not run" is true', `${call.id}: ${call.status}, but it ran`);
  }

  private answer(call: Call): void {
    const { id, kind, status, signature, echoedId, body, isWhole } = call;
    if (status === undefined) return;
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && signature === undefined) this.breach('answers are servers', `${id}: unsigned`);
    if (signature !== undefined && echoedId !== id) {
      this.breach('an answer is to its own request', `${id}: says ${echoedId}`);
    }
    const isKnown = this.runsOf(call).some(({ server }) => signature === `by-${server}`);
    if (signature !== undefined && !isKnown) {
      this.breach('an answer is to its own request', `${id}: ${signature} never ran it`);
    }
    const expected = kind === 'draft' || kind === 'batch' ? EVENTS : PLAIN;
    if (!isSuccess) return;
    if (isWhole && body !== expected) this.breach('answers are whole', `${id}: ${body}`);
    if (!expected.startsWith(body)) this.breach('answers are in order', `${id}: ${body}`);
  }

  private ended({ id, entry, sentAtMs, endedAtMs }: Call): void {
    const lastMs = sentAtMs + DEADLINE_MS + this.slackMs;
    if (endedAtMs !== undefined && endedAtMs <= lastMs) return;
    if (!this.site.entries[entry]!.isUnstruck(sentAtMs - CALM_MS, endedAtMs ?? Infinity)) return;
    this.breach('every request is answered in its time', id);
  }

  /** A planned stop, a settings change or a configuration cuts no request that a server works on well. */
  private stopped(call: Call): void {
    const { entry, sentAtMs, endedAtMs = Infinity, status, isWhole, leftAtMs } = call;
    if (leftAtMs !== undefined || (status !== undefined && isWhole)) return;
    const [run, ...others] = this.runsOf(call);
    const isServed = run?.behavior === 'serve' || run?.behavior === 'slow';
    if (!isServed || others.length > 0) return;
    if (!this.site.entries[entry]!.isUnstruck(sentAtMs - CALM_MS, endedAtMs)) return;
    const isDisturbed = this.site.serversDisturbedAtMs.some(
      (atMs) => atMs > sentAtMs - CALM_MS && atMs < endedAtMs,
    );
    if (!isDisturbed) this.breach('no planned stop cuts a request', `${call.id}: ${call.error}`);
  }

  private left(call: Call): void {
    const { leftAtMs } = call;
    if (leftAtMs === undefined) return;
    if (!this.site.entries[call.entry]!.isUnstruck(leftAtMs - CALM_MS, leftAtMs + CALM_MS)) return;
    for (const { behavior: manner, closedAtMs, server, atMs } of this.runsOf(call)) {
      if (manner !== 'silent') continue;
      const endMs = closedAtMs ?? Infinity;
      const lastMs = Math.max(leftAtMs, atMs) + GONE_MS + this.slackMs;
      if (endMs > lastMs) {
        this.breach('work ends when its caller leaves', `${call.id} at ${server}`);
      }
    }
  }

  private drained(call: Call): void {
    for (const { server, atMs, leavesAtMs = Infinity } of this.runsOf(call)) {
      if (atMs <= leavesAtMs + DRAIN_MS + this.slackMs || !this.isCalm(call, leavesAtMs)) continue;
      this.breach('a leaving server gets no new work', `${call.id} at ${server}`);
    }
  }

  private inForce(call: Call): void {
    const { id, kind, version, status, sentAtMs } = call;
    const acceptedAtMs = this.site.acceptedAtMs.get(version) ?? Infinity;
    if (kind !== 'probe' || status !== 404 || sentAtMs < acceptedAtMs + APPLY_MS + this.slackMs) {
      return;
    }
    if (this.isKept(call) && this.isCalm(call, acceptedAtMs)) {
      this.breach('a configuration is in force in seconds', `${id}: version ${version}`);
    }
  }

  /** Whether every version that may be in force by the call's end has the route that it asks for. */
  private isKept({ version, endedAtMs = Infinity }: Call): boolean {
    for (const [accepted, atMs] of this.site.acceptedAtMs) {
      if (accepted > version + KEPT_VERSIONS && atMs < endedAtMs) return false;
    }
    return true;
  }

  private neverBack(): void {
    const newest = new Map<string, { version: number; atMs: number }[]>();
    for (const { kind, status, version, entry, life, endedAtMs } of this.calls) {
      if (kind !== 'probe' || status === undefined || status === 404) continue;
      if (status === 503 || endedAtMs === undefined) continue;
      const key = `${entry}/${life}`;
      newest.set(key, [...(newest.get(key) ?? []), { version, atMs: endedAtMs }]);
    }
    for (const call of this.calls) {
      if (call.kind !== 'probe' || call.status !== 404 || !this.isKept(call)) continue;
      const before = newest.get(`${call.entry}/${call.life}`) ?? [];
      const was = before.find(
        ({ version, atMs }) => version >= call.version && atMs < call.sentAtMs,
      );
      if (!was) continue;
      this.breach(
        'a configuration never reverts',
        `${call.id}: ${call.version} after ${was.version}`,
      );
    }
  }

  /** Once three servers have ended under a request and all can know, calm entries send it on a few times at most. */
  private crashing(): void {
    const entryOf = new Map(this.calls.map(({ id, entry }) => [id, entry]));
    const runs = this.site.listed.flatMap(({ server }) => server.requestLog);
    const paths = new Set(
      this.calls
        .filter(({ kind }) => kind === 'crash')
        .map(({ id }) => runs.find((run) => run.id === id)?.path),
    );
    for (const path of paths) {
      const own = runs.filter((run) => run.path === path).sort((a, b) => a.atMs - b.atMs);
      const ends = own.map(({ closedAtMs = Infinity }) => closedAtMs).sort((a, b) => a - b);
      const knownAtMs = (ends[ENDS_TO_KNOW - 1] ?? Infinity) + CALM_MS + this.slackMs;
      const late = own.filter(({ id, atMs }) => {
        const entry = this.site.entries[entryOf.get(id) ?? 0]!;
        return atMs > knownAtMs && entry.isCalmSince(atMs - CALM_MS);
      });
      if (path === undefined || late.length <= MOST_LATE_SENDS) continue;
      const detail = `${path}: ${late.length} late of ${own.length} sends`;
      this.breach('a request that ends servers is not sent on', detail);
    }
  }

  private orders(): void {
    for (const { server } of this.site.listed) {
      if (server.overcommitCount > 0) this.breach('memory is never overcommitted', server.id);
      const orders = [...server.orderLog].sort((a, b) => a.atMs - b.atMs);
      for (const [at, { order, atMs }] of orders.entries()) {
        const before = orders[at - 1];
        if (!before || before.order.holder === order.holder) continue;
        const apartMs = atMs - before.atMs;
        const names = `${before.order.holder}, ${order.holder} at ${server.id}`;
        if (apartMs < this.site.turnMs) {
          this.breach('orders have one holder at a time', `${names}: ${Math.round(apartMs)} ms`);
        }
        if (order.fencing_token <= before.order.fencing_token) {
          this.breach('fencing tokens rise', names);
        }
      }
    }
  }
}

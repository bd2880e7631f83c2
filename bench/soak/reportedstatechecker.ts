import type { PlatformServer } from '../../standin/platform/index.js';
import type { Call } from './call.js';
import type { Site } from './site.js';

/** What the promise checker provides. */
interface ReportedStateCheckerOptions {
  readonly site: Site;
  readonly slackMs: number;
  readonly breach: (promise: string, detail: string) => void;
}

/** A caller's request at the time when it reached a server. */
interface Arrival {
  readonly call: Call;
  readonly atMs: number;
}

const WINDOW_MS = 4000;
/** A window may exceed the limit by this factor, plus `SLACK` requests. */
const EXCESS = 1.5;
const SLACK = 5;
/** A limit is checked from this long after the server first reported it. */
const SETTLE_MS = 3000;
/** A report binds an entry from this long after the entry has passed on the answer with it. */
const BOUND_AFTER_MS = 500;
const DRAIN_MS = 2000;
const MAX_DURING_BACKOFF = 2;

/** Checks that entries respect what servers report in their answers: limits, departures and backoffs. */
export class ReportedStateChecker {
  private readonly callOf: ReadonlyMap<string, Call>;

  constructor(
    private readonly options: ReportedStateCheckerOptions,
    private readonly calls: readonly Call[],
  ) {
    this.callOf = new Map(calls.map((call) => [call.id, call]));
  }

  judge(): void {
    for (const { server } of this.options.site.servers) {
      const arrivals = this.arrivalsAt(server);
      this.limits(server, arrivals);
      this.leaving(server, arrivals);
      this.backoffs(server, arrivals);
    }
  }

  private arrivalsAt({ requestLog: seen, refusals: turnedAway }: PlatformServer): Arrival[] {
    const arrivals: Arrival[] = [];
    for (const { id, atMs } of [...seen, ...turnedAway]) {
      const call = this.callOf.get(id);
      if (call) arrivals.push({ call, atMs });
    }
    return arrivals.sort((a, b) => a.atMs - b.atMs);
  }

  /** All entries together stay within the limit that a server reports. */
  private limits({ id, limitSpans }: PlatformServer, arrivals: readonly Arrival[]): void {
    for (const { perS, fromMs, untilMs = Infinity } of limitSpans) {
      const allowed = (EXCESS * perS * WINDOW_MS) / 1000 + SLACK;
      const bound = arrivals.filter(
        ({ call, atMs }) =>
          atMs > fromMs &&
          atMs < untilMs &&
          this.hasPassedOn(call, id, 'hasServerLimit', fromMs, atMs - BOUND_AFTER_MS),
      );
      for (const { atMs } of bound) {
        const inWindow = bound.filter(
          (arrival) => arrival.atMs <= atMs && arrival.atMs > atMs - WINDOW_MS,
        );
        const isChecked = atMs > fromMs + SETTLE_MS && this.isUndelayed(atMs - WINDOW_MS, atMs);
        if (!isChecked || inWindow.length <= allowed) continue;
        const detail = `${id}: ${inWindow.length} of ${allowed} at a limit of ${perS}`;
        this.options.breach('a server limit holds across all entries', detail);
        break;
      }
    }
  }

  /** An entry sends nothing to a server that it knows to be leaving. */
  private leaving({ id, restartedAtMs }: PlatformServer, arrivals: readonly Arrival[]): void {
    const { slackMs, breach } = this.options;
    for (const { call } of arrivals) {
      const lastMs = call.sentAtMs - DRAIN_MS - slackMs;
      const sinceMs = restartedAtMs.filter((atMs) => atMs < call.sentAtMs).at(-1) ?? 0;
      if (!this.hasPassedOn(call, id, 'hasServerLeaving', sinceMs, lastMs)) continue;
      breach(
        'a server that reports that it is leaving gets no more requests',
        `${call.id} at ${id}`,
      );
    }
  }

  /** An entry that was turned away sends nothing until the backoff has passed. */
  private backoffs(server: PlatformServer, arrivals: readonly Arrival[]): void {
    for (const { id, atMs, backoffMs: pauseMs } of server.refusals) {
      const call = this.callOf.get(id);
      if (!call || pauseMs === undefined) continue;
      const untilMs = atMs + pauseMs;
      const isSameStart = !server.restartedAtMs.some(
        (restartMs) => restartMs > atMs && restartMs < untilMs,
      );
      if (!isSameStart || !this.isUndelayed(atMs, untilMs)) continue;
      const duringBackoff = arrivals.filter(
        (arrival) =>
          arrival.atMs > atMs + BOUND_AFTER_MS &&
          arrival.atMs < untilMs &&
          arrival.call.entry === call.entry &&
          this.isRunning(arrival.call, atMs, arrival.atMs),
      );
      if (duringBackoff.length <= MAX_DURING_BACKOFF) continue;
      const detail = `${server.id}: ${duringBackoff.length} from ${call.entry} within ${pauseMs} ms`;
      this.options.breach('a server that asks for backoff gets no requests', detail);
    }
  }

  /** True if the call's entry, in the same process, had passed on an answer of the server that reported this. */
  private hasPassedOn(
    call: Call,
    server: string,
    report: 'hasServerLimit' | 'hasServerLeaving',
    fromMs: number,
    untilMs: number,
  ): boolean {
    return this.calls.some(
      ({ entry, startCount, signature, endedAtMs = Infinity, sentAtMs, [report]: isReported }) =>
        isReported &&
        entry === call.entry &&
        startCount === call.startCount &&
        signature === `by-${server}` &&
        sentAtMs > fromMs &&
        endedAtMs < untilMs &&
        this.isRunning(call, endedAtMs, call.sentAtMs),
    );
  }

  /** True if the call's entry was neither killed nor frozen; either excuses it. */
  private isRunning({ entry }: Call, fromMs: number, untilMs: number): boolean {
    return this.options.site.entries[entry]!.isRunning(fromMs - SETTLE_MS, untilMs);
  }

  /** True if no connection to a server was disturbed: delayed requests would arrive all at once. */
  private isUndelayed(fromMs: number, untilMs: number): boolean {
    return !this.options.site.serversDisturbedAtMs.some(
      (atMs) => atMs > fromMs - SETTLE_MS && atMs < untilMs,
    );
  }
}

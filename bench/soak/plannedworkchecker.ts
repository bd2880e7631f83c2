import type { PlannedLoad } from './plannedload.js';
import type { Site } from './site.js';
import type { SocketRequest } from './socketrequest.js';

/** What the checker needs. */
interface PlannedWorkCheckerOptions {
  readonly site: Site;
  readonly load: PlannedLoad;
  /** Time that is added to the deadline, for a busy machine. */
  readonly slackMs: number;
  readonly breach: (promise: string, detail: string) => void;
}

/** What became of the requests on raw sockets. */
interface PlannedWorkReport {
  readonly requests: number;
  readonly whole: number;
  /** Connections that did not open, by error code. */
  readonly unopened: Readonly<Record<string, number>>;
  /** Requests sent whole whose connection ended without a complete answer, all and those that break a promise. */
  readonly unanswered: number;
  readonly lost: number;
}

type Run = Site['servers'][number]['server']['requestLog'][number];

/** A request may end unread until this long after its last byte was sent. */
const LOSS_SLACK_MS = 200;
/** Nothing may have been disturbed for this long before a request. */
const CALM_MS = 3000;
const APPLY_MS = 2000;
const AFTER_MS = 1000;
/** Planned work of a stop covers requests that were sent up to this time after SIGTERM, whatever their server takes. */
const LAST_SENT_MS = 3000;
/** A server that is still at work in this last part of the grace period may be cut off. */
const LAST_PART_OF_GRACE = 1 / 6;
/** Part of its time after which a request does not count beside a configuration. */
const USED_PART = 0.7;
/** Beside configurations, cuts count only if they are more than this many times as frequent as at other times. */
const CONFIGURATION_FACTOR = 3;
const SOUND: ReadonlySet<string> = new Set(['serve', 'slow']);

function rounded(ms: number): string {
  return `${Math.round(ms)} ms`;
}

/**
 * Checks that no request that a caller has sent whole ends without a complete answer: on the callers' sockets, not in
 * the entries' logs.
 */
export class PlannedWorkChecker {
  private readonly runs = new Map<string, Run[]>();

  private readonly refusedIds = new Set<string>();

  private lost = 0;

  constructor(private readonly options: PlannedWorkCheckerOptions) {
    for (const { server } of options.site.servers) {
      for (const run of server.requestLog) {
        this.runs.set(run.id, [...(this.runs.get(run.id) ?? []), run]);
      }
      for (const { id } of server.refusals) this.refusedIds.add(id);
    }
  }

  judge(): PlannedWorkReport {
    const { load } = this.options;
    const unanswered = load.requests.filter(
      ({ isWhole, sentAtMs }) => !isWhole && sentAtMs !== undefined,
    );
    for (const request of load.requests) this.ended(request);
    for (const request of unanswered) this.answered(request);
    return {
      requests: load.requests.length,
      whole: load.requests.filter(({ isWhole }) => isWhole).length,
      unopened: Object.fromEntries(load.unopened),
      unanswered: unanswered.length,
      lost: this.lost,
    };
  }

  private ended(request: SocketRequest): void {
    const { startedAtMs, endedAtMs = Infinity, entry } = request;
    const { site, load, slackMs, breach } = this.options;
    const lastMs = startedAtMs + load.deadlineMs + slackMs;
    // A request that was sent in several parts, or behind another one, starts when the caller began to send it.
    if (endedAtMs <= lastMs || request.sentAtMs === undefined) return;
    if (!site.entries[entry]!.isRunning(startedAtMs - CALM_MS, endedAtMs)) return;
    breach('every request ends by its deadline', this.detailOf(request, []));
  }

  private answered(request: SocketRequest): void {
    const { sentAtMs = 0, endedAtMs = Infinity, startedAtMs } = request;
    const { load, breach } = this.options;
    const isAtDeadline = endedAtMs - startedAtMs >= load.deadlineMs;
    if (request.hasGivenUp || isAtDeadline || this.isDisturbed(request)) return;
    const runs = this.runsOf(request);
    // The server itself broke off, or sent what is no answer.
    if (runs.some(({ behavior }) => !SOUND.has(behavior))) return;
    const lagMs = load.largestLagMs(sentAtMs, endedAtMs);
    const isLate = endedAtMs - sentAtMs >= LOSS_SLACK_MS + lagMs;
    const isPassedOn = runs.length > 0 || this.refusedIds.has(request.id);
    const work = this.workAround(request);
    const promises: string[] = [];
    if (isPassedOn && request.isKept && request.receivedBytes === 0) {
      promises.push('a request passed on from a kept connection is answered');
    }
    if (work.length > 0 && isPassedOn) {
      promises.push('planned work cuts no request that was passed on');
    } else if (work.length > 0 && isLate && request.isBehindClose) {
      // The answer before it said that the connection closes, so its caller knows that it was not handled.
      promises.push('planned work ends no pipelined request that has waited');
    } else if (work.length > 0 && isLate) {
      promises.push('planned work ends no request that has waited');
    }
    if (promises.length > 0) this.lost += 1;
    for (const promise of promises) breach(promise, this.detailOf(request, work));
  }

  private runsOf({ id }: SocketRequest): readonly Run[] {
    return this.runs.get(id) ?? [];
  }

  private isDisturbed({ entry, startedAtMs, endedAtMs = Infinity }: SocketRequest): boolean {
    const { site } = this.options;
    if (!site.entries[entry]!.isRunning(startedAtMs - CALM_MS, endedAtMs)) return true;
    return [...site.storeDisturbedAtMs, ...site.serversDisturbedAtMs].some(
      (atMs) => atMs > startedAtMs - CALM_MS && atMs < endedAtMs,
    );
  }

  /** Returns the planned work around the end of a request, each with its distance in time. */
  private workAround(request: SocketRequest): string[] {
    const { site } = this.options;
    const { entry, sentAtMs = 0, endedAtMs = Infinity } = request;
    const work: string[] = [];
    for (const { signal, atMs } of site.entries[entry]!.signals) {
      const sinceMs = endedAtMs - atMs;
      const isStop = signal === 'SIGTERM' && sinceMs <= site.graceMs + AFTER_MS;
      const isHangUp = signal === 'SIGHUP' && sentAtMs <= atMs + APPLY_MS;
      const isCounted = isStop ? !this.isAtWorkAtEnd(request, atMs) : isHangUp;
      if (sinceMs >= 0 && isCounted) work.push(`${signal} ${rounded(sinceMs)} before`);
    }
    if (work.length === 0 && this.isBesideConfiguration(request) && this.cutsMoreOften(entry)) {
      work.push('a configuration');
    }
    return work;
  }

  /** True if a server still worked at the end of the grace period on a request that was sent soon after SIGTERM. */
  private isAtWorkAtEnd(request: SocketRequest, stopAtMs: number): boolean {
    const lastPartAtMs = stopAtMs + this.options.site.graceMs * (1 - LAST_PART_OF_GRACE);
    const { sentAtMs = 0, endedAtMs = Infinity } = request;
    if (sentAtMs > stopAtMs + LAST_SENT_MS || endedAtMs < lastPartAtMs) return false;
    return this.runsOf(request).some(({ closedAtMs = Infinity }) => closedAtMs >= lastPartAtMs);
  }

  private isBesideConfiguration({ startedAtMs, endedAtMs = Infinity }: SocketRequest): boolean {
    const { site, load } = this.options;
    if (endedAtMs - startedAtMs >= USED_PART * load.deadlineMs) return false;
    return [...site.acceptedAtMs.values()].some(
      (atMs) => endedAtMs >= atMs && endedAtMs <= atMs + APPLY_MS + AFTER_MS,
    );
  }

  /** True if an entry cuts requests far more often beside configurations than at other times. */
  private cutsMoreOften(entry: number): boolean {
    const own = this.options.load.requests.filter((request) => request.entry === entry);
    const shareOf = (requests: readonly SocketRequest[]) =>
      requests.filter(({ isWhole, sentAtMs }) => !isWhole && sentAtMs !== undefined).length /
      Math.max(1, requests.length);
    const beside = own.filter((request) => this.isBesideConfiguration(request));
    const others = own.filter((request) => !this.isBesideConfiguration(request));
    return shareOf(beside) > CONFIGURATION_FACTOR * shareOf(others);
  }

  /** Describes how a request ended, from its caller's side. */
  private detailOf(request: SocketRequest, work: readonly string[]): string {
    const { site, load } = this.options;
    const { id, kind, entry, sentAtMs = 0, endedAtMs, receivedBytes, earlierCount } = request;
    const untilMs = endedAtMs ?? performance.now();
    const program = site.entries[entry]!;
    const { phase, forMs } = program.phaseAt(untilMs);
    const runCount = this.runsOf(request).length;
    const sent = program.phaseAt(sentAtMs);
    return [
      `${id} (${kind}) at ${program.name}`,
      `ended ${rounded(untilMs - sentAtMs)} after its last byte, ${receivedBytes} bytes received`,
      ...(receivedBytes > 0 ? [`the last ones ${JSON.stringify(request.receivedEnd)}`] : []),
      request.hasGivenUp ? 'by its caller' : (request.errorCode ?? `status ${request.status}`),
      earlierCount === 0 ? 'first on its connection' : `${earlierCount} earlier on its connection`,
      request.isKept ? 'kept' : 'one request only',
      ...(request.isBehindClose ? ['behind an answer that closes'] : []),
      runCount === 0 ? 'run by no server' : `run ${runCount} times`,
      request.isAtReady ? 'entry had answered ready' : 'entry chosen among all',
      `sent while ${sent.phase} for ${rounded(sent.forMs)}`,
      `ended while ${phase} for ${rounded(forMs)}`,
      work.length === 0 ? 'no planned work' : `beside ${work.join(', ')}`,
      `own timers up to ${rounded(load.largestLagMs(sentAtMs, untilMs))} late`,
    ].join(', ');
  }
}

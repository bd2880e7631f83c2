import type { PlatformServer } from '../../standin/platform/index.js';
import type { Call } from './call.js';
import type { Site } from './site.js';

/** What the witness of all promises gives to this one. */
interface NeedWitnessOptions {
  readonly site: Site;
  readonly slackMs: number;
  readonly breach: (promise: string, detail: string) => void;
}

/** A request of a caller that reached a server. */
interface Arrival {
  readonly call: Call;
  readonly atMs: number;
}

const WINDOW_MS = 4000;
const EXCESS = 1.5;
const SLACK = 5;
/** From its first naming on a limit is judged after this. */
const CONTACT_MS = 3000;
/** An entry is bound this long after it has passed an answer on. */
const TOLD_MS = 500;
const DRAIN_MS = 2000;
const MOST_IN_PAUSE = 2;

/** Judges what servers say of themselves in their answers. */
export class NeedWitness {
  private readonly callOf: ReadonlyMap<string, Call>;

  constructor(
    private readonly options: NeedWitnessOptions,
    private readonly calls: readonly Call[],
  ) {
    this.callOf = new Map(calls.map((call) => [call.id, call]));
  }

  judge(): void {
    for (const { server } of this.options.site.listed) {
      const arrivals = this.arrivalsAt(server);
      this.limits(server, arrivals);
      this.leaving(server, arrivals);
      this.pauses(server, arrivals);
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

  private limits({ id, limitSpans }: PlatformServer, arrivals: readonly Arrival[]): void {
    for (const { perS, fromMs, untilMs = Infinity } of limitSpans) {
      const allowed = (EXCESS * perS * WINDOW_MS) / 1000 + SLACK;
      const bound = arrivals.filter(
        ({ call, atMs }) =>
          atMs > fromMs &&
          atMs < untilMs &&
          this.isTold(call, id, 'saidLimit', fromMs, atMs - TOLD_MS),
      );
      for (const { atMs } of bound) {
        const inWindow = bound.filter((one) => one.atMs <= atMs && one.atMs > atMs - WINDOW_MS);
        const isJudged = atMs > fromMs + CONTACT_MS && this.isSteady(atMs - WINDOW_MS, atMs);
        if (!isJudged || inWindow.length <= allowed) continue;
        const detail = `${id}: ${inWindow.length} of ${allowed} at a limit of ${perS}`;
        this.options.breach('a limit of a server holds over all entries', detail);
        break;
      }
    }
  }

  private leaving({ id, restartedAtMs }: PlatformServer, arrivals: readonly Arrival[]): void {
    const { slackMs, breach } = this.options;
    for (const { call } of arrivals) {
      const lastMs = call.sentAtMs - DRAIN_MS - slackMs;
      const sinceMs = restartedAtMs.filter((atMs) => atMs < call.sentAtMs).at(-1) ?? 0;
      if (!this.isTold(call, id, 'saidLeaving', sinceMs, lastMs)) continue;
      breach('a server that says it leaves gets nothing more', `${call.id} at ${id}`);
    }
  }

  private pauses(server: PlatformServer, arrivals: readonly Arrival[]): void {
    for (const { id, atMs, backoffMs: pauseMs } of server.refusals) {
      const told = this.callOf.get(id);
      if (!told || pauseMs === undefined) continue;
      const untilMs = atMs + pauseMs;
      const isSameStart = !server.restartedAtMs.some((one) => one > atMs && one < untilMs);
      if (!isSameStart || !this.isSteady(atMs, untilMs)) continue;
      const inPause = arrivals.filter(
        (one) =>
          one.atMs > atMs + TOLD_MS &&
          one.atMs < untilMs &&
          one.call.entry === told.entry &&
          this.isUnstruck(one.call, atMs, one.atMs),
      );
      if (inPause.length <= MOST_IN_PAUSE) continue;
      const detail = `${server.id}: ${inPause.length} from ${told.entry} within ${pauseMs} ms`;
      this.options.breach('a server that wants a pause is left alone', detail);
    }
  }

  /** Whether this life of the call's entry had passed on an answer of the server's that said so. */
  private isTold(
    call: Call,
    server: string,
    word: 'saidLimit' | 'saidLeaving',
    fromMs: number,
    untilMs: number,
  ): boolean {
    return this.calls.some(
      ({ entry, life, signature, endedAtMs = Infinity, sentAtMs, [word]: isSaid }) =>
        isSaid &&
        entry === call.entry &&
        life === call.life &&
        signature === `by-${server}` &&
        sentAtMs > fromMs &&
        endedAtMs < untilMs &&
        this.isUnstruck(call, endedAtMs, call.sentAtMs),
    );
  }

  /** A kill or a freeze excuses an entry. */
  private isUnstruck({ entry }: Call, fromMs: number, untilMs: number): boolean {
    return this.options.site.entries[entry]!.isUnstruck(fromMs - CONTACT_MS, untilMs);
  }

  /** What was held up on the way to servers arrives all at once. */
  private isSteady(fromMs: number, untilMs: number): boolean {
    return !this.options.site.serversDisturbedAtMs.some(
      (atMs) => atMs > fromMs - CONTACT_MS && atMs < untilMs,
    );
  }
}

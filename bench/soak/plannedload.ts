import { request as httpRequest } from 'node:http';
import type { Dice } from './dice.js';
import { pause } from './pause.js';
import type { Program } from './program.js';
import type { Site } from './site.js';
import { SocketConnection } from './socketconnection.js';
import type { SocketRequest } from './socketrequest.js';

const HOST = 'caller.example';
const KINDS = ['lookup', 'charge', 'draft', 'batch'] as const;
const MODELS = ['m1', 'm2'];
const DEADLINE_MS = 4000;
/** A caller without an answer closes its connection after this; by then the request counts as late. */
const GIVE_UP_MS = 2 * DEADLINE_MS;
const BODY = 'x'.repeat(300);
/** Longest pause between an answer and the next request on the connection. */
const LONGEST_PAUSE_MS = 60;
/** Longest pause between the head and the body of a request that is sent in two parts. */
const LONGEST_SPLIT_MS = 300;
/** One in this many requests is sent in two parts. */
const SPLIT_ONE_IN = 8;
/** One in this many connections carries one request only, and says so. */
const FRESH_ONE_IN = 3;
/** One in this many turns on a kept connection sends several requests at once. */
const PIPELINED_ONE_IN = 6;
const MAX_PIPELINED = 3;
/** One in this many kept connections is closed by its caller after an answer. */
const LEAVES_ONE_IN = 30;
/** How often readiness is asked for; an entry is out after two misses, as load balancers usually have it. */
const READY_EVERY_MS = 250;
const READY_TIMEOUT_MS = 1000;
const MISSES_UNTIL_OUT = 2;
const TICK_MS = 10;

/** Asks an entry whether it is ready. */
function isReady({ readinessPort: port }: Program): Promise<boolean> {
  return new Promise((resolve) => {
    const options = { host: '127.0.0.1', port, agent: false as const, timeout: READY_TIMEOUT_MS };
    const sent = httpRequest(options, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(false));
    sent.end();
  });
}

/**
 * Callers on raw sockets, on kept and fresh connections, also with several requests at once and with requests in two parts.
 * Half of them choose among the entries that answered ready, the others among all.
 */
export class PlannedLoad {
  readonly requests: SocketRequest[] = [];

  /** Connections that did not open, by error code. */
  readonly unopened = new Map<string, number>();

  /** How much later than due the timers of this process ran. */
  private readonly lags: { readonly atMs: number; readonly lagMs: number }[] = [];

  private readonly ready = new Set<number>();

  private readonly running: Promise<void>[] = [];

  private isOver = false;

  constructor(
    private readonly site: Site,
    private readonly dice: Dice,
  ) {}

  /** Time that an entry has for a request. */
  get deadlineMs(): number {
    return DEADLINE_MS;
  }

  start(callerCount: number): void {
    for (const at of this.site.entries.keys()) this.running.push(this.watch(at));
    for (let at = 0; at < callerCount; at += 1) this.running.push(this.repeat(at % 2 === 0));
    this.running.push(this.recordLags());
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.running);
  }

  /** Returns how late the timers of this process ran at most in a time, which its own measurements are wrong by. */
  largestLagMs(fromMs: number, untilMs: number): number {
    const lags = this.lags.filter(({ atMs, lagMs }) => atMs >= fromMs && atMs - lagMs <= untilMs);
    return lags.reduce((largest, { lagMs }) => Math.max(largest, lagMs), 0);
  }

  private async recordLags(): Promise<void> {
    while (!this.isOver) {
      const dueMs = performance.now() + TICK_MS;
      await pause(TICK_MS);
      const atMs = performance.now();
      this.lags.push({ atMs, lagMs: Math.max(0, atMs - dueMs) });
    }
  }

  private async watch(at: number): Promise<void> {
    const entry = this.site.entries[at]!;
    let misses = 0;
    while (!this.isOver) {
      const { startCount } = entry;
      const isIn = await isReady(entry);
      misses = isIn ? 0 : misses + 1;
      if (isIn && startCount === entry.startCount) entry.recordReady();
      if (isIn) this.ready.add(at);
      else if (misses >= MISSES_UNTIL_OUT) this.ready.delete(at);
      await pause(READY_EVERY_MS);
    }
  }

  private async repeat(isChoosy: boolean): Promise<void> {
    while (!this.isOver) {
      const entries = isChoosy ? [...this.ready] : [...this.site.entries.keys()];
      if (entries.length > 0) await this.converse(this.dice.pick(entries), isChoosy);
      await pause(this.dice.below(LONGEST_PAUSE_MS));
    }
  }

  /** Opens a connection and sends requests on it until either side closes it. */
  private async converse(entry: number, isAtReady: boolean): Promise<void> {
    const { dice } = this;
    const connection = new SocketConnection(this.site.entries[entry]!.port);
    const error = await connection.opened();
    if (error !== undefined) {
      this.unopened.set(error, (this.unopened.get(error) ?? 0) + 1);
      return;
    }
    const isKept = dice.below(FRESH_ONE_IN) !== 0;
    let earlierCount = 0;
    while (!connection.isOver && !this.isOver) {
      const isPipelined = isKept && dice.below(PIPELINED_ONE_IN) === 0;
      const count = isPipelined ? 2 + dice.below(MAX_PIPELINED - 1) : 1;
      for (let at = 0; at < count; at += 1) {
        await this.send(connection, { entry, isAtReady, isKept, earlierCount });
        earlierCount += 1;
      }
      await connection.untilAnswered(GIVE_UP_MS);
      if (!isKept || dice.below(LEAVES_ONE_IN) === 0) break;
      await pause(dice.below(LONGEST_PAUSE_MS));
    }
    connection.close();
  }

  private send(
    connection: SocketConnection,
    place: Pick<SocketRequest, 'entry' | 'isAtReady' | 'isKept' | 'earlierCount'>,
  ): Promise<void> {
    const { dice } = this;
    const kind = dice.pick(KINDS);
    const isSplit = kind !== 'lookup' && dice.below(SPLIT_ONE_IN) === 0;
    const request: SocketRequest = {
      ...place,
      id: `w${this.requests.length}`,
      kind,
      startedAtMs: performance.now(),
      sentAtMs: undefined,
      status: undefined,
      receivedBytes: 0,
      receivedEnd: '',
      isWhole: false,
      endedAtMs: undefined,
      errorCode: undefined,
      isBehindClose: false,
      hasGivenUp: false,
    };
    this.requests.push(request);
    const pauseMs = isSplit ? 1 + dice.below(LONGEST_SPLIT_MS) : 0;
    return connection.send(request, this.partsOf(request), pauseMs);
  }

  /** Returns the head and the body of a request. */
  private partsOf({ id, kind, isKept }: SocketRequest): [string, string] {
    const isStream = kind === 'draft' || kind === 'batch';
    const body = kind === 'lookup' ? '' : BODY;
    const lines = [
      `${kind === 'lookup' ? 'GET' : 'POST'} /${kind}/1 HTTP/1.1`,
      `Host: ${HOST}`,
      `Tarragonstile-Request-Id: ${id}`,
      `Tarragonstile-Deadline-Ms: ${DEADLINE_MS}`,
      ...(isStream ? [`Tarragonstile-Model: ${this.dice.pick(MODELS)}`] : []),
      ...(isKept ? [] : ['Connection: close']),
      ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
    ];
    return [`${lines.join('\r\n')}\r\n\r\n`, body];
  }
}

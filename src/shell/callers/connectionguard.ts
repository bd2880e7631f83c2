import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Ms } from '../../base/index.js';
import { chooseIdle } from '../../core/callerconnections/index.js';
import {
  callerMemoryRules as rules,
  chooseEvictions,
  isCallerMemoryFull,
  mayEvictAnswer,
  type Holder,
} from '../../core/callermemory/index.js';
import type { Log } from '../../port/index.js';
import { linger } from '../http1/index.js';
import { afterReads } from '../loop/index.js';
import { CallerConnection } from './callerconnection.js';
import type { CallerHold } from './callerhold.js';
import { ChunkPacer } from './chunkpacer.js';
import { stopParsing } from './stopparsing.js';

/** Limits on what callers hold at one listener. */
interface GuardLimits {
  /** Open connections. */
  readonly connections: number;
  /** Requests of one connection that are read and not answered; no more are read on it then. */
  readonly requestsAhead: number;
  /** Requests of one connection that are served at a time; those behind them wait. */
  readonly requestsUnderWay: number;
  /** Memory of all requests together. */
  readonly heldBytes: number;
  /** A body of which nothing arrives for this long is refused. */
  readonly bodyIdleMs: Ms;
  /** A caller that reads nothing of its answers for this long is disconnected. */
  readonly callerStallMs: Ms;
}

/** Why a connection is closed. */
type CloseReason = 'connections' | 'memory' | 'requests-ahead' | 'idle-body' | 'unread-answers';

/** Options of a connection guard. */
interface ConnectionGuardOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly limits: () => GuardLimits;
  /** Called with the reason for each connection that is closed. */
  readonly closed: (reason: CloseReason) => void;
  /** Called regularly while there are connections, with the memory of all requests and the part of it for answers. */
  readonly observed: (heldBytes: number, answerBytes: number) => void;
}

const SWEEP_MS: Ms = 250;
/** Time between two searches for connections to evict, if the first found too few. */
const SEARCH_EVERY_MS: Ms = 50;

/**
 * Follows the connections of a listener and what their requests hold. When memory runs out, closes those that hold most
 * for longest without progress, and refuses the request of one that is sending its body.
 */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, CallerConnection>();

  private readonly holds = new WeakMap<ServerResponse, CallerHold>();

  /** Memory of all requests. */
  heldBytes = 0;

  /** Part of it that is held of upstreams' answers. */
  answerBytes = 0;

  /** Number of connections that this process has not closed. */
  private openCount = 0;

  private readonly pacer = new ChunkPacer();

  private isSweeping = false;

  private searchAtMs: Ms = -Infinity;

  /** The same when requests are refused for lack of memory. */
  private fullSearchAtMs: Ms = -Infinity;

  /** Memory of answers that are being given up. */
  private leavingBytes = 0;

  constructor(private readonly options: ConnectionGuardOptions) {}

  /**
   * Records that a connection was opened; over the limit, closes an idle one for it. Returns false if none is idle.
   */
  accept(socket: Socket): boolean {
    if (this.openCount < this.options.limits().connections) {
      this.connectionOf(socket);
      return true;
    }
    const idle = [...this.connections.values()].filter(({ isIdle }) => isIdle);
    const chosen = chooseIdle(
      idle.map((connection) => {
        const { isUsed, progressAtMs } = connection;
        return { id: connection, isUsed, progressAtMs };
      }),
    );
    if (!chosen) return false;
    this.end(chosen, 'connections');
    this.connectionOf(socket);
    return true;
  }

  /** Records that the head of a request was read. */
  begin(response: ServerResponse): CallerHold {
    const connection = this.connectionOf(response.req.socket);
    const hold = connection.begin(response, this.options.clock.nowMs());
    this.holds.set(response, hold);
    response.once('close', () => {
      connection.release(hold);
      // An answer whose head was sent before cannot have said that the connection closes.
      const isOver = connection.isStopped && connection.holds.size === 0;
      if (isOver && connection.socket.writable) linger(connection.socket, this.options.clock);
    });
    if (connection.holds.size >= this.options.limits().requestsAhead) {
      this.stop(connection.socket);
      this.record(connection, 'requests-ahead');
    }
    hold.charge(rules.requestBytes);
    return hold;
  }

  /** Discards the requests that follow on a connection. It has to be closed once those before are answered. */
  stop(socket: Socket): void {
    this.connectionOf(socket).isStopped = true;
    stopParsing(socket);
  }

  /** True if no further request is read on a connection. */
  isStopped(socket: Socket): boolean {
    return this.connections.get(socket)?.isStopped ?? false;
  }

  /** Returns what a request holds. */
  holdOf(response: ServerResponse): CallerHold {
    return this.holds.get(response) ?? this.begin(response);
  }

  /** True if no memory is left and no connection can be closed for it, so that requests have to be refused. */
  get isFull(): boolean {
    const { callerBytes, keptBytes: totalBytes } = this;
    return isCallerMemoryFull({ callerBytes, totalBytes }, this.options.limits().heldBytes);
  }

  /** Memory of all requests without that of answers that are being given up. */
  private get keptBytes(): number {
    return this.heldBytes - this.leavingBytes;
  }

  /** Memory of all requests without that of answers. */
  private get callerBytes(): number {
    return this.heldBytes - this.answerBytes;
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known) return known;
    const { clock, limits } = this.options;
    const charged = (bytes: number, answerBytes: number) => {
      this.heldBytes += bytes;
      this.answerBytes += answerBytes;
      if (bytes > 0) this.makeRoom();
    };
    const { requestsUnderWay } = limits();
    const connection = new CallerConnection(socket, {
      charged,
      isMemoryShort: () => this.heldBytes > limits().heldBytes * rules.lowWater,
      nowMs: () => clock.nowMs(),
      maxUnderWay: requestsUnderWay,
      countChunk: this.pacer.counter(socket),
    });
    this.connections.set(socket, connection);
    this.openCount += 1;
    socket.once('close', () => {
      this.connections.delete(socket);
      connection.closed();
      this.ended(connection);
    });
    this.sweepSoon();
    return connection;
  }

  private makeRoom(): void {
    const { clock, limits } = this.options;
    const limitBytes = limits().heldBytes;
    if (this.keptBytes <= limitBytes) return;
    const nowMs = clock.nowMs();
    const wasFull = this.isFull;
    if (nowMs < (wasFull ? this.fullSearchAtMs : this.searchAtMs)) return;
    this.evictAnswers(limitBytes, nowMs);
    if (this.isFull) this.closeConnections(limitBytes, nowMs);
    if (this.isFull) this.fullSearchAtMs = nowMs + SEARCH_EVERY_MS;
    if (this.keptBytes > limitBytes) this.searchAtMs = nowMs + SEARCH_EVERY_MS;
  }

  private evictAnswers(limitBytes: number, nowMs: Ms): void {
    const account = { totalBytes: this.keptBytes, limitBytes };
    const holders: Holder<CallerHold>[] = [];
    for (const { holds } of this.connections.values()) {
      for (const hold of holds) {
        const { answerBytes: heldBytes, answerAtMs: progressAtMs, onEvict } = hold;
        const answer = { heldBytes, idleMs: nowMs - progressAtMs };
        if (onEvict && mayEvictAnswer(answer, account)) {
          holders.push({ id: hold, heldBytes, progressAtMs });
        }
      }
    }
    const excessBytes = this.keptBytes - limitBytes * rules.lowWater;
    for (const hold of chooseEvictions(holders, excessBytes, nowMs)) this.evictAnswer(hold);
  }

  private closeConnections(limitBytes: number, nowMs: Ms): void {
    const holders = [...this.connections.values()]
      .filter((connection) => connection.isEvictable(nowMs))
      .map((connection) => {
        const { heldBytes, progressAtMs } = connection;
        return { id: connection, heldBytes, progressAtMs };
      });
    const excessBytes = this.callerBytes - limitBytes * rules.lowWater;
    for (const connection of chooseEvictions(holders, excessBytes, nowMs)) {
      this.end(connection, 'memory');
    }
  }

  /** Gives up the answer that is held for a request, once what has taken the memory has returned. */
  private evictAnswer(hold: CallerHold): void {
    const { onEvict, answerBytes } = hold;
    if (!onEvict) return;
    this.leavingBytes += answerBytes;
    // Not chosen again before it has given its memory back.
    Object.assign(hold, { onEvict: undefined });
    queueMicrotask(() => {
      Object.assign(hold, { onEvict });
      this.leavingBytes -= answerBytes;
      onEvict();
    });
  }

  private end(connection: CallerConnection, reason: CloseReason): void {
    const { socket, holds, isReadingBody } = connection;
    const [first] = holds;
    this.record(connection, reason);
    const drop = first?.onDrop;
    connection.clear();
    if (isReadingBody && drop && (reason === 'memory' || reason === 'idle-body')) drop(reason);
    else {
      stopParsing(socket);
      socket.destroy();
      this.ended(connection);
    }
  }

  private ended(connection: CallerConnection): void {
    if (connection.isEnded) return;
    Object.assign(connection, { isEnded: true });
    this.openCount -= 1;
  }

  private record({ holds, heldBytes, progressAtMs }: CallerConnection, reason: CloseReason): void {
    const { clock, log, closed } = this.options;
    const idleMs = Math.round(clock.nowMs() - progressAtMs);
    log.warn('caller connection closed', { reason, heldBytes, requests: holds.size, idleMs });
    closed(reason);
  }

  private sweepSoon(): void {
    if (this.isSweeping) return;
    this.isSweeping = true;
    const { clock } = this.options;
    clock.after(SWEEP_MS, () => {
      // After a stall, timers run before sockets are read: callers seem to have made no progress.
      afterReads(clock, () => {
        this.isSweeping = false;
        this.sweep();
        if (this.connections.size > 0) this.sweepSoon();
      });
    });
  }

  private sweep(): void {
    const nowMs = this.options.clock.nowMs();
    for (const connection of this.connections.values()) this.check(connection, nowMs);
    // Answers that stand take no further memory, which is when room is made otherwise.
    this.makeRoom();
    this.options.observed(this.heldBytes, this.answerBytes);
  }

  /** Closes a connection whose caller has made no progress for too long. */
  private check(connection: CallerConnection, nowMs: Ms): void {
    if (connection.holds.size === 0 && connection.unsentBytes === 0) return;
    connection.observe(nowMs);
    const { bodyIdleMs, callerStallMs } = this.options.limits();
    const idleMs = nowMs - connection.progressAtMs;
    if (connection.unsentBytes > 0) {
      if (idleMs >= callerStallMs) this.end(connection, 'unread-answers');
    } else if (connection.isReadingBody && idleMs >= bodyIdleMs) {
      this.end(connection, 'idle-body');
    }
  }
}

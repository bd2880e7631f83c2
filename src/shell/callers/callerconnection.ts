import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Ms } from '../../base/index.js';
import { callerMemoryRules as rules } from '../../core/callermemory/index.js';
import { CallerHold } from './callerhold.js';

/** What a connection uses of its listener. */
interface ConnectionOptions {
  /** Takes a change of the memory that is held, and of the part of it that is held of answers. */
  readonly charged: (bytes: number, answerBytes: number) => void;
  readonly isMemoryShort: () => boolean;
  readonly nowMs: () => Ms;
  /** Most requests that are served at a time. */
  readonly maxUnderWay: number;
  readonly countChunk: (sizeBytes: number) => void;
}

/** A connection of a caller, with what its requests hold. */
export class CallerConnection {
  readonly holds = new Set<CallerHold>();

  /** Memory of its requests and of their answers that are not sent yet. */
  heldBytes = 0;

  /** Bytes of answers that wait to be sent, when last observed. */
  unsentBytes = 0;

  /** True once no further request is read on it. */
  isStopped = false;

  /** True once it has brought a request. */
  isUsed = false;

  /** True once this process has closed it. */
  isEnded = false;

  /** Answers that waited behind another one when their requests were released. */
  private readonly queued = new Set<ServerResponse>();

  private progressBytes = 0;

  private underWayCount = 0;

  /** When it was last observed that bytes had been read or sent. */
  progressAtMs: Ms;

  readonly countChunk: (sizeBytes: number) => void;

  readonly isMemoryShort: () => boolean;

  constructor(
    readonly socket: Socket,
    private readonly options: ConnectionOptions,
  ) {
    this.progressAtMs = options.nowMs();
    this.countChunk = options.countChunk;
    this.isMemoryShort = options.isMemoryShort;
  }

  begin(response: ServerResponse, nowMs: Ms): CallerHold {
    const hold = new CallerHold(response, this);
    // The parser still reports what it had read on a connection that this process has closed.
    if (!this.socket.destroyed) this.holds.add(hold);
    this.progressAtMs = nowMs;
    this.isUsed = true;
    return hold;
  }

  release(hold: CallerHold): void {
    if (!this.holds.delete(hold)) return;
    this.add(-hold.heldBytes, -hold.answerBytes);
    if (hold.isUnderWay) this.underWayCount -= 1;
    this.serveNext();
  }

  /** Releases everything; frees bodies that are being read. */
  clear(): void {
    for (const hold of this.holds) {
      hold.onClear?.();
      hold.onTurn = undefined;
      if (!hold.response.socket) this.queued.add(hold.response);
    }
    for (const hold of this.holds) this.release(hold);
    this.add(-this.unsentBytes);
    this.unsentBytes = 0;
  }

  /** Has to be called when the connection has closed. Node tells only the answer that is being sent. */
  closed(): void {
    this.clear();
    for (const response of this.queued) {
      response.destroy();
      response.emit('close');
    }
    this.queued.clear();
  }

  /** Records what it holds and whether it made progress. */
  observe(nowMs: Ms): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    let unsentBytes = writableLength;
    // An answer behind another one has no socket yet.
    for (const { response } of this.holds) {
      if (!response.socket) unsentBytes += response.writableLength;
    }
    this.add(unsentBytes - this.unsentBytes);
    this.unsentBytes = unsentBytes;
    const progressBytes = bytesRead + bytesWritten - writableLength;
    if (progressBytes !== this.progressBytes) this.progressAtMs = nowMs;
    this.progressBytes = progressBytes;
  }

  get isIdle(): boolean {
    return this.holds.size === 0 && this.unsentBytes === 0 && !this.isEnded;
  }

  /** True while it waits for its caller. A request that was read whole, alone on its connection, gets its answer. */
  isEvictable(nowMs: Ms): boolean {
    if (this.holds.size > 1) return true;
    if (this.unsentBytes > 0 && nowMs - this.progressAtMs >= rules.unreadMs) return true;
    return this.isReadingBody;
  }

  /** True if it has one request, whose body is being read. */
  get isReadingBody(): boolean {
    const [only] = this.holds;
    return this.holds.size === 1 && only!.onDrop !== undefined && !only!.isBodyComplete;
  }

  /** Begins to serve the requests whose turn it is. */
  serveNext(): void {
    for (const hold of this.holds) {
      if (this.underWayCount >= this.options.maxUnderWay) return;
      const { onTurn } = hold;
      if (!onTurn) continue;
      hold.onTurn = undefined;
      hold.isUnderWay = true;
      this.underWayCount += 1;
      onTurn();
    }
  }

  /** Charges bytes to a request, unless it was released. */
  charge(hold: CallerHold, bytes: number): void {
    if (!this.holds.has(hold)) return;
    Object.assign(hold, { heldBytes: hold.heldBytes + bytes });
    this.add(bytes);
  }

  /** Charges memory of an answer to a request, unless it was released. */
  chargeAnswer(hold: CallerHold, bytes: number): void {
    if (!this.holds.has(hold)) return;
    const answerBytes = hold.answerBytes + bytes;
    const answerAtMs = bytes > 0 ? this.options.nowMs() : hold.answerAtMs;
    const heldBytes = hold.heldBytes + bytes;
    Object.assign(hold, { heldBytes, answerBytes, answerAtMs });
    this.add(bytes, bytes);
  }

  private add(bytes: number, answerBytes = 0): void {
    this.heldBytes += bytes;
    this.options.charged(bytes, answerBytes);
  }
}

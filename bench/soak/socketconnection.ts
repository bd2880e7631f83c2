import { connect, type Socket } from 'node:net';
import { AnswerReader } from './answerreader.js';
import { pause } from './pause.js';
import type { SocketRequest } from './socketrequest.js';

const CONNECT_MS = 3000;

/** A caller's connection to an entry. Records for each request on it how it ended. */
export class SocketConnection {
  private readonly waiting: SocketRequest[] = [];

  private readonly reader = new AnswerReader();

  private readonly socket: Socket;

  private errorCode: string | undefined;

  private isOpen = false;

  private isClosed = false;

  /** True once an answer has announced that the connection closes, or it has closed. */
  isOver = false;

  private changed: () => void = () => {};

  constructor(port: number) {
    this.socket = connect({ port, host: '127.0.0.1', noDelay: true });
    this.socket.on('data', (chunk) => this.receive(chunk));
    this.socket.on('end', () => this.finish());
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.errorCode = error.code ?? error.message;
    });
    this.socket.on('close', () => this.closed());
  }

  /** Resolves when the connection is open, with undefined, or with the code of the error that ended it before. */
  opened(): Promise<string | undefined> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.socket.destroy(), CONNECT_MS);
      this.socket.once('connect', () => {
        this.isOpen = true;
        clearTimeout(timer);
        resolve(undefined);
      });
      this.socket.once('close', () => {
        clearTimeout(timer);
        if (!this.isOpen) resolve(this.errorCode ?? 'ETIMEDOUT');
      });
    });
  }

  /** Sends a request in two parts, the second one after a pause unless that is 0. */
  async send(request: SocketRequest, parts: readonly [string, string], pauseMs: number) {
    const sent = request;
    // Nothing more is reported of a connection that has closed, so a request on it would wait forever.
    if (this.isClosed) {
      sent.endedAtMs = performance.now();
      sent.errorCode = this.errorCode ?? 'closed';
      return;
    }
    this.waiting.push(sent);
    const recordSent = (error?: Error | null) => {
      if (!error && sent.endedAtMs === undefined) sent.sentAtMs = performance.now();
    };
    if (pauseMs === 0) {
      this.socket.write(parts.join(''), recordSent);
      return;
    }
    this.socket.write(parts[0]);
    await pause(pauseMs);
    if (this.socket.writable) this.socket.write(parts[1], recordSent);
  }

  /** Resolves when no request on the connection waits for its answer; after `giveUpMs` it is closed. */
  async untilAnswered(giveUpMs: number): Promise<void> {
    if (this.waiting.length === 0) return;
    const timer = setTimeout(() => {
      for (const request of this.waiting) request.hasGivenUp = true;
      this.socket.destroy();
    }, giveUpMs);
    await new Promise<void>((resolve) => {
      this.changed = resolve;
    });
    clearTimeout(timer);
  }

  close(): void {
    this.socket.destroy();
  }

  private receive(chunk: Buffer): void {
    for (const answer of this.reader.push(chunk)) this.answer(answer);
    const [next] = this.waiting;
    if (!next) return;
    next.receivedBytes = this.reader.pendingBytes;
    next.receivedEnd = this.reader.pendingEnd;
  }

  private finish(): void {
    const answer = this.reader.finish();
    if (answer) this.answer({ ...answer, isLast: true });
  }

  private answer({ status, sizeBytes, isLast }: ReturnType<AnswerReader['push']>[number]): void {
    if (status < 200) return;
    const request = this.waiting.shift();
    if (!request) return;
    Object.assign(request, { status, isWhole: true, receivedBytes: sizeBytes });
    request.endedAtMs = performance.now();
    if (isLast) {
      this.isOver = true;
      for (const next of this.waiting) next.isBehindClose = true;
    }
    if (this.waiting.length === 0) this.changed();
  }

  private closed(): void {
    this.isClosed = true;
    this.isOver = true;
    for (const request of this.waiting.splice(0)) {
      request.endedAtMs = performance.now();
      request.errorCode = this.errorCode ?? 'closed';
    }
    this.changed();
  }
}

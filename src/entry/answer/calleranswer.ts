import type { ServerResponse } from 'node:http';
import type { Header, Refusal } from '../../wire/index.js';
import { sendProblem } from '../sendproblem.js';
import type { Body } from './body.js';
import { BufferedBody } from './bufferedbody.js';
import { StreamedBody } from './streamedbody.js';

type Bounds = ConstructorParameters<typeof BufferedBody>[1];

const NO_BODY_STATUS = new Set([204, 304]);

function isStream(headers: readonly Header[]): boolean {
  return headers.some(
    ({ name, value }) => name === 'content-type' && value.startsWith('text/event-stream'),
  );
}

/** The answer to one caller. A new attempt may restart it until the first byte has been sent. */
export class CallerAnswer {
  private body: Body | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly bounds: Bounds,
    /** Calls a function that sends the head of the answer, at once or later. */
    private readonly beforeHead: (send: () => void) => void,
  ) {}

  /** True once a part of the answer has been sent to the caller. */
  get hasSent(): boolean {
    return this.body?.hasSent ?? false;
  }

  start(status: number, headers: readonly Header[]): void {
    if (this.hasSent) return;
    const { response, requestId, beforeHead } = this;
    const writeHead = (sizeBytes?: number) => this.writeHead(status, headers, sizeBytes);
    this.discard();
    this.body = isStream(headers)
      ? new StreamedBody(response, requestId, writeHead)
      : new BufferedBody(response, this.bounds, writeHead, beforeHead);
  }

  /** Returns false if the caller does not keep up: see `onDrain`. */
  data(payload: Buffer): boolean {
    return this.body?.data(payload) ?? true;
  }

  /** Calls `act` once, when the caller has read what was sent. */
  onDrain(act: () => void): void {
    this.response.once('drain', act);
  }

  end(): void {
    this.body?.end();
  }

  fail(refusal: Refusal): void {
    if (this.body?.fail(refusal)) return;
    this.discard();
    this.beforeHead(() => sendProblem(this.response, refusal, this.requestId));
  }

  /** Gives up what is held of the answer. */
  discard(): void {
    this.body?.discard();
  }

  /** Disconnects a caller that has stopped reading. */
  disconnect(): void {
    this.response.destroy();
  }

  private writeHead(status: number, headers: readonly Header[], sizeBytes?: number): void {
    const { response } = this;
    response.statusCode = status;
    for (const { name, value } of headers) response.appendHeader(name, value);
    response.setHeader('x-request-id', this.requestId);
    if (sizeBytes === undefined || NO_BODY_STATUS.has(status)) return;
    if (response.req.method !== 'HEAD') response.setHeader('content-length', sizeBytes);
  }
}

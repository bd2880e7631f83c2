import type { ServerResponse } from 'node:http';
import type { Header, Refusal } from '../../wire/index.js';
import { sendProblem } from '../sendproblem.js';
import type { Body } from './body.js';
import { HeldBody } from './heldbody.js';
import { StreamedBody } from './streamedbody.js';

const NO_BODY_STATUS = new Set([204, 304]);

function isStream(headers: readonly Header[]): boolean {
  return headers.some(
    ({ name, value }) => name === 'content-type' && value.startsWith('text/event-stream'),
  );
}

/** The answer to one caller. Attempts may begin it anew until the first byte has been passed on. */
export class CallerAnswer {
  private body: Body | undefined;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly heldBytes: number,
  ) {}

  /** True once the caller has been sent a part of the answer. */
  get passed(): boolean {
    return this.body?.passed ?? false;
  }

  start(status: number, headers: readonly Header[]): void {
    if (this.passed) return;
    const { response, requestId } = this;
    const writeHead = (sizeBytes?: number) => this.writeHead(status, headers, sizeBytes);
    this.body = isStream(headers)
      ? new StreamedBody(response, requestId, writeHead)
      : new HeldBody(response, this.heldBytes, writeHead);
  }

  /** False if the caller does not keep up: see `whenFree`. */
  data(payload: Buffer): boolean {
    return this.body?.data(payload) ?? true;
  }

  /** Calls `act` once, when the caller has taken what it was sent. */
  whenFree(act: () => void): void {
    this.response.once('drain', act);
  }

  end(): void {
    this.body?.end();
  }

  fail(refusal: Refusal): void {
    if (this.body?.fail(refusal)) return;
    sendProblem(this.response, refusal, this.requestId);
  }

  /** Gives up a caller that takes nothing. */
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

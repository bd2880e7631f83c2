import type { ServerResponse } from 'node:http';
import { problem } from '../problem.js';
import type { Refusal } from '../../wire/index.js';
import type { Body } from './body.js';

/** Server-sent events, sent to the caller as they arrive. */
export class StreamedBody implements Body {
  hasSent = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly writeHead: () => void,
  ) {}

  data(payload: Buffer): boolean {
    if (!this.hasSent) {
      this.hasSent = true;
      this.writeHead();
    }
    return this.response.write(payload);
  }

  end(): void {
    if (!this.hasSent) this.writeHead();
    this.response.end();
  }

  fail(refusal: Refusal): boolean {
    if (!this.hasSent) return false;
    const { body } = problem(refusal, this.requestId);
    this.response.end(`event: error\ndata: ${body}\n\n`);
    return true;
  }

  discard(): void {}
}

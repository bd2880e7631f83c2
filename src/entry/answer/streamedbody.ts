import type { ServerResponse } from 'node:http';
import { problem } from '../problem.js';
import type { Refusal } from '../../wire/index.js';
import type { Body } from './body.js';

/** Server-sent events, passed on as they arrive. */
export class StreamedBody implements Body {
  passed = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly writeHead: () => void,
  ) {}

  data(payload: Buffer): boolean {
    if (!this.passed) {
      this.passed = true;
      this.writeHead();
    }
    return this.response.write(payload);
  }

  end(): void {
    if (!this.passed) this.writeHead();
    this.response.end();
  }

  fail(refusal: Refusal): boolean {
    if (!this.passed) return false;
    const { body } = problem(refusal, this.requestId);
    this.response.end(`event: error\ndata: ${body}\n\n`);
    return true;
  }
}

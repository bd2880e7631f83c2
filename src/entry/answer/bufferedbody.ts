import type { ServerResponse } from 'node:http';
import type { Body } from './body.js';

/**
 * A body that is buffered until it is complete, so that a failure can still change the status code. Past the limit the
 * body is sent as it arrives; a failure can then only be signalled by closing the connection.
 */
export class BufferedBody implements Body {
  hasSent = false;

  private readonly held: Buffer[] = [];

  private sizeBytes = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly limitBytes: number,
    private readonly writeHead: (sizeBytes?: number) => void,
    private readonly beforeHead: (send: () => void) => void,
  ) {}

  data(payload: Buffer): boolean {
    if (this.hasSent) return this.response.write(payload);
    this.held.push(payload);
    this.sizeBytes += payload.length;
    if (this.sizeBytes <= this.limitBytes) return true;
    this.hasSent = true;
    this.writeHead();
    return this.response.write(Buffer.concat(this.held.splice(0)));
  }

  end(): void {
    if (this.hasSent) {
      this.response.end();
      return;
    }
    this.beforeHead(() => {
      this.writeHead(this.sizeBytes);
      this.response.end(Buffer.concat(this.held));
    });
  }

  fail(): boolean {
    if (!this.hasSent) return false;
    this.response.destroy();
    return true;
  }
}

import type { ServerResponse } from 'node:http';
import type { Body } from './body.js';

/**
 * A body that is held until it is whole, so that the status tells the truth. Past its limit it is
 * passed on, and can then only be broken off by closing the connection.
 */
export class HeldBody implements Body {
  passed = false;

  private readonly held: Buffer[] = [];

  private sizeBytes = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly limitBytes: number,
    private readonly writeHead: (sizeBytes?: number) => void,
  ) {}

  data(payload: Buffer): boolean {
    if (this.passed) return this.response.write(payload);
    this.held.push(payload);
    this.sizeBytes += payload.length;
    if (this.sizeBytes <= this.limitBytes) return true;
    this.passed = true;
    this.writeHead();
    return this.response.write(Buffer.concat(this.held.splice(0)));
  }

  end(): void {
    if (this.passed) {
      this.response.end();
      return;
    }
    this.writeHead(this.sizeBytes);
    this.response.end(Buffer.concat(this.held));
  }

  fail(): boolean {
    if (!this.passed) return false;
    this.response.destroy();
    return true;
  }
}

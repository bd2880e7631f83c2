import type { ServerResponse } from 'node:http';
import { BodyBuffer } from '../../shell/body/index.js';
import type { Body } from './body.js';
import type { HeldAnswers } from './heldanswers.js';

/** What bounds the memory that held answers take. */
interface Bounds {
  /** Largest answer that is held. */
  readonly limitBytes: number;
  readonly heldAnswers: HeldAnswers;
}

/**
 * A body that is buffered until it is complete, so that a failure can still change the status code. Past the limit the
 * body is sent as it arrives; a failure can then only be signalled by closing the connection.
 */
export class BufferedBody implements Body {
  hasSent = false;

  private readonly held: BodyBuffer;

  private isFree = true;

  constructor(
    private readonly response: ServerResponse,
    private readonly bounds: Bounds,
    private readonly writeHead: (sizeBytes?: number) => void,
    private readonly beforeHead: (send: () => void) => void,
  ) {
    this.held = new BodyBuffer(bounds.limitBytes, undefined);
  }

  data(payload: Buffer): boolean {
    if (!this.hasSent && this.held.add(payload)) {
      this.bounds.heldAnswers.record(this, this.held.capacityBytes);
      return !this.hasSent || this.isFree;
    }
    if (!this.hasSent) this.passOn();
    return this.response.write(payload);
  }

  end(): void {
    if (this.hasSent) {
      this.response.end();
      return;
    }
    const body = this.held.take();
    this.discard();
    this.beforeHead(() => {
      this.writeHead(body.length);
      this.response.end(body);
    });
  }

  fail(): boolean {
    if (!this.hasSent) return false;
    this.response.destroy();
    return true;
  }

  /** Sends what is held, and the rest as it arrives. */
  passOn(): void {
    this.hasSent = true;
    this.writeHead();
    this.isFree = this.response.write(this.held.take());
    this.discard();
  }

  discard(): void {
    this.held.clear();
    this.bounds.heldAnswers.forget(this);
  }
}

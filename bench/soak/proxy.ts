import { connect, createServer, type Socket } from 'node:net';

/** What a proxy does with what passes it. */
export type ProxyManner = 'pass' | 'delay' | 'silent' | 'one-way' | 'refuse';

const DELAY_MS = 150;

/** Between a process and what it talks to on the loopback: delays, resets, cuts one way, falls silent. */
export class Proxy {
  manner: ProxyManner = 'pass';

  private readonly pairs = new Set<readonly [Socket, Socket]>();

  private readonly server = createServer({ pauseOnConnect: false }, (socket) => this.take(socket));

  constructor(private readonly targetPort: number) {}

  /** Listens and gives its address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const { port } = this.server.address() as { port: number };
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Resets every connection that is open. */
  reset(): void {
    for (const [near, far] of this.pairs) {
      near.resetAndDestroy();
      far.destroy();
    }
  }

  close(): void {
    this.server.close();
    this.reset();
  }

  private take(near: Socket): void {
    if (this.manner === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    const pair = [near, far] as const;
    this.pairs.add(pair);
    near.on('data', (chunk) => this.pass(chunk, far, false));
    far.on('data', (chunk) => this.pass(chunk, near, true));
    for (const [one, other] of [
      [near, far],
      [far, near],
    ] as const) {
      // A reset stays a reset: as an ordinary end it would make an answer without a length look whole.
      one.on('error', () => other.resetAndDestroy());
      one.on('end', () => {
        // Node tells a reset that comes beside data as an end; such a socket has no peer any more.
        if (one.remoteAddress === undefined) other.resetAndDestroy();
        else other.end();
      });
      one.on('close', () => {
        this.pairs.delete(pair);
        other.destroy();
      });
    }
  }

  private pass(chunk: Buffer, to: Socket, isAnswer: boolean): void {
    const { manner } = this;
    if (manner === 'silent' || (manner === 'one-way' && isAnswer)) return;
    if (manner === 'delay') setTimeout(() => to.writable && to.write(chunk), DELAY_MS);
    else if (to.writable) to.write(chunk);
  }
}

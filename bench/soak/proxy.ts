import { connect, createServer, type Socket } from 'node:net';

/** How a proxy treats connections and the data on them. */
export type ProxyMode = 'pass' | 'delay' | 'silent' | 'one-way' | 'refuse';

const DELAY_MS = 150;

/** A TCP proxy on the loopback that can delay, reset, refuse, or silently drop data in one or both directions. */
export class Proxy {
  mode: ProxyMode = 'pass';

  private readonly pairs = new Set<readonly [Socket, Socket]>();

  private readonly server = createServer({ pauseOnConnect: false }, (socket) => this.take(socket));

  constructor(private readonly targetPort: number) {}

  /** Starts to listen and returns its address. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        const { port } = this.server.address() as { port: number };
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  /** Resets every open connection. */
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

  /** Connects a new client to the target. */
  private take(near: Socket): void {
    if (this.mode === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.targetPort, '127.0.0.1');
    const pair = [near, far] as const;
    this.pairs.add(pair);
    near.on('data', (chunk) => this.forward(chunk, near, far, false));
    far.on('data', (chunk) => this.forward(chunk, far, near, true));
    for (const [one, other] of [
      [near, far],
      [far, near],
    ] as const) {
      // A reset is passed on as a reset: as an ordinary end it would make an answer without a length look complete.
      one.on('error', () => other.resetAndDestroy());
      one.on('end', () => {
        // Node reports a reset that arrives together with data as an end; such a socket has no remote address.
        if (one.remoteAddress === undefined) other.resetAndDestroy();
        else other.end();
      });
      one.on('close', () => {
        this.pairs.delete(pair);
        other.destroy();
      });
    }
  }

  private forward(chunk: Buffer, from: Socket, to: Socket, isAnswer: boolean): void {
    const { mode } = this;
    if (mode === 'silent' || (mode === 'one-way' && isAnswer)) return;
    const pass = () => {
      // Reads no faster than the receiver does: an answer without end would fill the memory of the soak.
      if (!to.writable || to.write(chunk) || from.isPaused()) return;
      from.pause();
      to.once('drain', () => from.resume());
    };
    if (mode === 'delay') setTimeout(pass, DELAY_MS);
    else pass();
  }
}

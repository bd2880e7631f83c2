import { FailureError, type Clock, type Ms } from '../../base/index.js';
import type { Http1Call } from './http1call.js';
import type { Http1Receiver } from './http1receiver.js';
import type { Http1Sent } from './http1sent.js';
import type { Link } from './link.js';
import { openLink } from './openlink.js';

/** Options of a channel. */
interface ChannelOptions {
  readonly clock: Clock;
  readonly connectTimeoutMs: Ms;
  readonly idleMs: Ms;
  readonly maxConnections: number;
}

const WITHHELD = 'Its sender no longer wants it to leave.';

/** Names of headers that say how a body ends; an answer with neither ends with its connection. */
const FRAMING = new Set(['content-length', 'transfer-encoding']);

function isFramed(status: number, headers: readonly string[]): boolean {
  if (status === 204 || status === 304) return true;
  for (let at = 0; at < headers.length; at += 2) {
    if (FRAMING.has(headers[at]!.toLowerCase())) return true;
  }
  return false;
}

/** Calls to one address, one at a time on each connection; the connection used last is used first. */
export class Channel {
  private readonly idle: Link[] = [];

  private readonly links = new Set<Link>();

  private isRetired = false;

  /** Most connections at once; it changes with the number of processes that share the peer's own bound. */
  maxConnections: number;

  constructor(
    private readonly address: string,
    private readonly options: ChannelOptions,
  ) {
    this.maxConnections = options.maxConnections;
  }

  /** Undefined if every connection that the channel may have is in use. */
  send(call: Http1Call, receiver: Http1Receiver): Http1Sent | undefined {
    const link = this.idle.pop() ?? this.add();
    return link && this.dispatch(link, call, receiver);
  }

  /** Takes no more calls; those that run go on, and their connections close after them. */
  retire(): void {
    this.isRetired = true;
    for (const link of [...this.idle]) this.drop(link);
  }

  /** Closes every connection; calls that run fail. */
  close(): void {
    for (const link of [...this.links]) this.drop(link);
  }

  private add(): Link | undefined {
    if (this.links.size >= this.maxConnections) return undefined;
    const link = openLink(this.address, this.options, () => this.forget(link));
    this.links.add(link);
    return link;
  }

  private forget(link: Link): void {
    this.links.delete(link);
    const at = this.idle.indexOf(link);
    if (at >= 0) this.idle.splice(at, 1);
  }

  private drop(link: Link): void {
    this.forget(link);
    if (link.isClosed) return;
    Object.assign(link, { isClosed: true });
    void link.client.destroy().catch(() => undefined);
  }

  private dispatch(link: Link, call: Http1Call, receiver: Http1Receiver): Http1Sent {
    let isSent = false;
    let isWithheld = false;
    let isOver = false;
    let framed = true;
    let resume = () => {};
    const fail = (detail: string) => {
      if (isOver) return;
      isOver = true;
      this.drop(link);
      const unsent = isWithheld ? 'withheld' : 'connection-failed';
      receiver.failed({ type: isSent ? 'connection-lost' : unsent, detail, sent: isSent });
    };
    link.client.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: [...call.headers],
        body: call.body?.length ? call.body : null,
      },
      {
        onConnect: (abort: (error: Error) => void) => {
          // A new connection takes its time to open, and a process may be suspended meanwhile.
          if (call.mayLeave && !call.mayLeave()) {
            isWithheld = true;
            abort(new FailureError({ type: 'withheld', detail: WITHHELD }));
            return;
          }
          isSent = true;
        },
        onHeaders: (status: number, raw: Buffer[], resumeFlow: () => void) => {
          if (status < 200) return true;
          resume = resumeFlow;
          const headers = raw.map((part) => part.toString('latin1'));
          framed = isFramed(status, headers);
          if (!isOver) receiver.head(status, headers, framed);
          return true;
        },
        onData: (chunk: Buffer) => isOver || receiver.data(Buffer.from(chunk)),
        onComplete: () => {
          if (!framed && link.isBroken) {
            fail('The connection was reset before the end of an answer without a length.');
            return;
          }
          if (isOver) return;
          isOver = true;
          if (framed && !link.isClosed && !this.isRetired) this.idle.push(link);
          else this.drop(link);
          receiver.end();
        },
        onError: (error: Error) => fail(error.message),
      },
    );
    return {
      get hasLeft() {
        return isSent;
      },
      cancel: () => {
        if (isOver) return;
        isOver = true;
        this.drop(link);
      },
      resume: () => resume(),
    };
  }
}

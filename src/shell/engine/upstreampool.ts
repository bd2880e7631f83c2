import type { Socket } from 'node:net';
import { Client, Pool, type Dispatcher } from 'undici';
import { framingOf } from '../http1/index.js';

type Handler = Dispatcher.DispatchHandler;
type Connect = (
  options: object,
  done: (error: Error | null, socket: Socket | null) => void,
) => void;

const FIRST_NON_SUCCESS_STATUS = 300;

/** A connection to an upstream. Answers that were cut fail also where undici takes them for whole. */
class UpstreamClient extends Client {
  /** True once the connection was reset. */
  private isReset = false;

  constructor(origin: URL, options: { readonly connect?: unknown }) {
    const connect = options.connect as Connect;
    const observed: Connect = (target, done) =>
      connect(target, (error, socket) => {
        if (socket) this.observe(socket);
        done(error, socket);
      });
    super(origin, { ...options, connect: observed as never });
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Handler): boolean {
    return super.dispatch(options, this.guarded(options.method, handler));
  }

  /** Called before undici listens to the socket, so that a reset is known before undici ends the answer. */
  private observe(socket: Socket): void {
    this.isReset = false;
    socket.on('error', () => {
      this.isReset = true;
    });
    // A reset that arrives together with data is reported as an ordinary end. Only a reset socket has no remote address.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) this.isReset = true;
    });
  }

  /**
   * An answer that ends with its connection is cut if that was reset. A success whose connection ends after the head may
   * have been cut there.
   */
  private guarded(method: string, handler: Handler): Handler {
    let isOpenEnded = false;
    let mayLackBody = true;
    return {
      onConnect: (abort) => handler.onConnect?.(abort),
      onUpgrade: (...upgrade) => handler.onUpgrade?.(...upgrade),
      onBodySent: (...sent) => handler.onBodySent?.(...sent),
      onResponseStarted: () => handler.onResponseStarted?.(),
      onHeaders: (status, raw, resume, text) => {
        const headers = raw.map((part) => part.toString('latin1'));
        isOpenEnded = framingOf(method, status, headers) === 'connection';
        mayLackBody = status >= FIRST_NON_SUCCESS_STATUS;
        return handler.onHeaders?.(status, raw, resume, text) ?? true;
      },
      onData: (chunk) => {
        mayLackBody = true;
        return handler.onData?.(chunk) ?? true;
      },
      onComplete: (trailers) => {
        const isCut = isOpenEnded && (this.isReset || !mayLackBody);
        if (isCut) {
          handler.onError?.(new Error('The connection ended before the answer was whole.'));
        } else handler.onComplete?.(trailers);
      },
      onError: (error) => handler.onError?.(error),
    };
  }
}

/** Creates the connection pool of one upstream. Answers may take any time. */
export function upstreamPool(url: string, connections: number): Pool {
  const factory = (origin: URL, options: object) => new UpstreamClient(origin, options);
  return new Pool(url, { connections, bodyTimeout: 0, headersTimeout: 0, factory });
}

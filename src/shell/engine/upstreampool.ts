import type { Socket } from 'node:net';
import { Client, Pool, type Dispatcher } from 'undici';
import { AnswerSocket, framingOf, PieceMerger } from '../http1/index.js';
import { openUpstreamSocket } from './openupstreamsocket.js';

type Handler = Dispatcher.DispatchHandler;
type Connect = (
  target: { readonly protocol: string; readonly hostname: string; readonly port: string },
  done: (error: Error | null, socket: Socket | null) => void,
) => void;

const FIRST_FINAL_STATUS = 200;
const FIRST_NON_SUCCESS_STATUS = 300;

/**
 * A connection to an upstream. Answers that were cut fail also where undici takes them for whole. What one read brought of
 * a body is passed on as one block, since the parser reports each chunk by itself.
 */
class UpstreamClient extends Client {
  /** Undefined with TLS. */
  private answerSocket: AnswerSocket | undefined;

  /** True once the connection was reset. */
  private isReset = false;

  constructor(origin: URL, options: { readonly connect?: unknown }) {
    const connect = options.connect as Connect;
    const observed: Connect = (target, done) => {
      const open: Connect = target.protocol === 'https:' ? connect : openUpstreamSocket;
      open(target, (error, socket) => {
        if (socket) this.observe(socket);
        done(error, socket);
      });
    };
    super(origin, { ...options, connect: observed as never });
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Handler): boolean {
    return super.dispatch(options, this.guarded(options.method, handler));
  }

  /** Called before undici listens to the socket, so that a reset is known before undici ends the answer. */
  private observe(socket: Socket): void {
    this.isReset = false;
    this.answerSocket = socket instanceof AnswerSocket ? socket : undefined;
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
    let resumeParser = () => {};
    let abortRequest = (_error: Error) => {};
    // With TLS the parser is paused itself.
    let mustPause = false;
    const merger = new PieceMerger({
      deliver: (bytes) => handler.onData?.(bytes) ?? true,
      hold: () => {
        if (this.answerSocket) this.answerSocket.hold();
        else mustPause = true;
      },
      release: () => {
        if (this.answerSocket) this.answerSocket.release();
        else {
          mustPause = false;
          resumeParser();
        }
      },
      failed: (error) => abortRequest(error),
    });
    return {
      onConnect: (abort) => {
        this.answerSocket?.begin();
        abortRequest = abort;
        handler.onConnect?.(abort);
      },
      onUpgrade: (...upgrade) => handler.onUpgrade?.(...upgrade),
      onBodySent: (...sent) => handler.onBodySent?.(...sent),
      onResponseStarted: () => handler.onResponseStarted?.(),
      onHeaders: (status, raw, resume, text) => {
        if (status < FIRST_FINAL_STATUS) {
          return handler.onHeaders?.(status, raw, resume, text) ?? true;
        }
        resumeParser = resume;
        this.answerSocket?.progress(0);
        const headers = raw.map((part) => part.toString('latin1'));
        isOpenEnded = framingOf(method, status, headers) === 'connection';
        mayLackBody = status >= FIRST_NON_SUCCESS_STATUS;
        return handler.onHeaders?.(status, raw, () => merger.resume(), text) ?? true;
      },
      onData: (chunk) => {
        mayLackBody = true;
        this.answerSocket?.progress(chunk.length);
        merger.add(chunk);
        return !mustPause;
      },
      onComplete: (trailers) => {
        merger.flush();
        merger.end();
        const isCut = isOpenEnded && (this.isReset || !mayLackBody);
        if (isCut) {
          handler.onError?.(new Error('The connection ended before the answer was whole.'));
        } else handler.onComplete?.(trailers);
      },
      onError: (error) => {
        merger.flush();
        merger.end();
        handler.onError?.(error);
      },
    };
  }
}

/** Creates the connection pool of one upstream. Answers may take any time. */
export function upstreamPool(url: string, connections: number): Pool {
  const factory = (origin: URL, options: object) => new UpstreamClient(origin, options);
  return new Pool(url, { connections, bodyTimeout: 0, headersTimeout: 0, factory });
}

import { toFailure, type UpstreamId } from '../base/index.js';
import type { Session } from '../core/handover/index.js';
import { refuse } from '../core/refusal/index.js';
import { Executed, type RequestHead } from '../wire/index.js';
import type { AnswerSink } from './answersink.js';
import { Work } from './work.js';
import type { WorkContext } from './workcontext.js';

/** Hands sessions over. Returns for each request the upstreams that can continue it best. */
type HandOver = (
  sessions: readonly Session[],
) => ReadonlyMap<string, Promise<readonly UpstreamId[]>>;

/** Runs all requests to the upstream, tracks those in flight, and ends them on a planned stop. */
export class RequestRunner {
  private readonly live = new Set<Work>();

  private resolveIdle: (() => void) | undefined;

  private leaving = false;

  constructor(private readonly context: WorkContext) {}

  /** Runs one request. Sends its complete answer, a refusal, or an end frame with a failure type. */
  async run(requestId: string, head: RequestHead, sink: AnswerSink): Promise<void> {
    // A request with a ticket may have run before: the run-once table answers it. During a stop the table lets no new
    // request run either.
    if (this.leaving && !head.ticket) {
      const value = refuse('upstream-leaving', 'Upstream is draining.');
      sink.send({ $case: 'refusal', value });
      return;
    }
    const work = new Work(this.context, requestId, head, sink);
    this.live.add(work);
    try {
      await work.run();
    } catch (thrown) {
      // No part should throw. If one does, the caller still gets a typed refusal.
      const { type, detail } = toFailure('internal', thrown);
      const executed = Executed.EXECUTED_UNKNOWN;
      sink.send({ $case: 'refusal', value: refuse(type, detail, { executed }) });
    } finally {
      this.live.delete(work);
      if (this.live.size === 0) this.resolveIdle?.();
    }
  }

  inFlight(): number {
    return this.live.size;
  }

  /** Refuses new requests from now on, except those with a ticket: the run-once table answers them. */
  stopAccepting(): void {
    this.leaving = true;
  }

  /** Refuses new requests from now on. Resolves when nothing is in flight. */
  drain(): Promise<void> {
    this.stopAccepting();
    if (this.live.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.resolveIdle = resolve;
    });
  }

  /**
   * Aborts all requests in flight. Each ends at once, except the sessions that `handOver` returns: they end when
   * the upstreams that can continue them are known.
   */
  expire(handOver: HandOver = () => new Map()): void {
    const sessions = [...this.live].flatMap((work) => work.session() ?? []);
    const places = handOver(sessions);
    for (const work of this.live) {
      const detail = 'This upstream stopped before the answer was complete.';
      work.expire(refuse('upstream-leaving', detail), places.get(work.requestId));
    }
  }
}

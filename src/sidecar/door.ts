import { settle, type UpstreamId } from '../base/index.js';
import type { Session } from '../core/handover/index.js';
import { refuse } from '../core/refusal/index.js';
import { Executed, type RequestHead } from '../wire/index.js';
import type { Outlet } from './outlet.js';
import { Work } from './work.js';
import type { WorkContext } from './workcontext.js';

/** Where each session is continued best, by request. */
type HandOver = (
  sessions: readonly Session[],
) => ReadonlyMap<string, Promise<readonly UpstreamId[]>>;

/** The only way to the upstream. Knows all that is in flight, and ends it on a planned stop. */
export class Door {
  private readonly live = new Set<Work>();

  private whenIdle: (() => void) | undefined;

  private leaving = false;

  constructor(private readonly context: WorkContext) {}

  /** Runs one request and sends its whole answer, or a typed end. */
  async run(requestId: string, head: RequestHead, outlet: Outlet): Promise<void> {
    // A ticket's request may have run already: the table answers, which takes nothing new in either.
    if (this.leaving && !head.ticket) {
      const value = refuse('upstream-leaving', 'This upstream takes no new work.');
      outlet.send({ $case: 'refusal', value });
      return;
    }
    const work = new Work(this.context, requestId, head, outlet);
    this.live.add(work);
    try {
      await work.run();
    } catch (thrown) {
      // No part should throw; if one does, the caller still gets a typed end.
      const { type, detail } = settle('internal', thrown);
      const executed = Executed.EXECUTED_UNKNOWN;
      outlet.send({ $case: 'refusal', value: refuse(type, detail, { executed }) });
    } finally {
      this.live.delete(work);
      if (this.live.size === 0) this.whenIdle?.();
    }
  }

  inFlight(): number {
    return this.live.size;
  }

  /** Refuses new work from now on. A ticket is still heard: the table knows what became of it. */
  leave(): void {
    this.leaving = true;
  }

  /** Refuses new work from now on; resolves when nothing is in flight. */
  drain(): Promise<void> {
    this.leave();
    if (this.live.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.whenIdle = resolve;
    });
  }

  /**
   * Stops everything in flight now. Each has its typed end at once, but for those that `handOver` takes:
   * theirs waits for where they are continued.
   */
  expire(handOver: HandOver = () => new Map()): void {
    const sessions = [...this.live].flatMap((work) => work.session() ?? []);
    const places = handOver(sessions);
    for (const work of this.live) {
      const detail = 'This upstream stopped before the answer was whole.';
      work.expire(refuse('upstream-leaving', detail), places.get(work.requestId));
    }
  }
}

import type { Socket } from 'node:net';
import type { Clock, Ms } from '../../base/index.js';
import { initialOverload, stepOverload } from '../../core/overload/index.js';
import type { Log } from '../../port/index.js';

type Event = Parameters<typeof stepOverload>[1];
type Effects = ReturnType<typeof stepOverload>['effects'];
/** `refused`: accepted, to refuse its request by an answer. */
type Fate = 'accepted' | 'refused' | 'closed-unread';

const FATES = { accept: 'accepted', refuse: 'refused', close: 'closed-unread' } as const;

/** Options of an accept gate. */
interface AcceptGateOptions {
  readonly clock: Clock;
  readonly log: Log;
  /** Called with what becomes of each connection. */
  readonly decided: (fate: Fate) => void;
  /** Returns true if connections may be closed unread. */
  readonly mayClose: () => boolean;
  /** Called with the time that the event loop took to poll once more after it had accepted a connection. */
  readonly polled: (delayMs: Ms) => void;
}

/**
 * Refuses new connections, or closes them unread, while the accept queue is standing. libuv accepts one connection in
 * each turn of the event loop, so that the queue was empty if a turn brings none.
 */
export class AcceptGate {
  private state = initialOverload();

  /** Number of connections so far. */
  private count = 0;

  private isWatching = false;

  constructor(private readonly options: AcceptGateOptions) {}

  /** True if the last turn of the event loop found no connection in the accept queue. */
  get isQueueEmpty(): boolean {
    return !this.isWatching;
  }

  /** Decides what becomes of a new connection, and closes it if need be. */
  admit(socket: Socket): Fate {
    this.count += 1;
    if (!this.isWatching) {
      this.isWatching = true;
      setImmediate(() => this.watchPoll());
    }
    const { mayClose, decided } = this.options;
    const [effect] = this.step({ type: 'connection', mayClose: mayClose() });
    const fate = FATES[effect!.type as keyof typeof FATES];
    if (fate === 'closed-unread') socket.resetAndDestroy();
    decided(fate);
    return fate;
  }

  /** Observes the next turn of the event loop, and those after it while each brings a connection. */
  private watchPoll(): void {
    const { clock, polled } = this.options;
    const { count } = this;
    const fromMs = clock.nowMs();
    setImmediate(() => {
      const isQueueEmpty = this.count === count;
      polled(clock.nowMs() - fromMs);
      this.step({ type: 'polled', isQueueEmpty });
      if (isQueueEmpty) this.isWatching = false;
      else this.watchPoll();
    });
  }

  private step(event: Event): Effects {
    const { state, effects } = stepOverload(this.state, event, this.options.clock.nowMs());
    this.state = state;
    for (const effect of effects) {
      if (effect.type !== 'drained' || effect.closedCount === 0) continue;
      const { closedCount, sheddingForMs } = effect;
      const fields = { closedCount, sheddingForMs: Math.round(sheddingForMs) };
      this.options.log.warn('connections closed unread', fields);
    }
    return effects;
  }
}

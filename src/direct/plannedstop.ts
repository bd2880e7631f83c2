import type { Clock, Ms } from '../base/index.js';
import { stopPhase, takeWorkMs } from '../core/plannedstop/index.js';
import type { Log } from '../port/index.js';
import type { DirectEntry } from './directentry.js';

/** The callers' side of an entry, as far as a stop goes. */
interface Door {
  /** Answers go with `Connection: close` from now on; requests that are read later than `untilMs` are refused. */
  leave(untilMs: Ms): void;
  /** Refuses requests from now on; closes the listener and idle connections once nothing arrives on them any more. */
  shut(): void;
  /** Whether new connections are still accepted. */
  readonly isListening: boolean;
  /** Requests that were read and whose answers are not written yet. */
  readonly unwritten: number;
  connections(): Promise<number>;
}

/** Options of a planned stop. */
interface PlannedStopOptions {
  readonly entry: DirectEntry;
  readonly door: Door;
  readonly graceMs: Ms;
  readonly clock: Clock;
  readonly log: Log;
}

type Phase = ReturnType<typeof stopPhase>;

const LOOK_MS = 50;

/** What is done when a phase begins. */
const BEGIN: Readonly<Record<Phase, (options: PlannedStopOptions, startedAtMs: Ms) => void>> = {
  listening: ({ entry, door, graceMs }, startedAtMs) => {
    entry.retire();
    door.leave(startedAtMs + takeWorkMs(graceMs));
    void entry.release();
  },
  finishing: ({ door }) => door.shut(),
  refusing: ({ entry }) => entry.stopWaiting(),
  ending: ({ entry }) => entry.endAll(),
  over: () => {},
};

const ORDER: readonly Phase[] = ['listening', 'finishing', 'refusing', 'ending', 'over'];

/**
 * Stops an entry within its grace; resolves when its process may end. No request that was read loses its
 * connection without an answer: of 14 that were there at the end of a grace, two that waited for a model did.
 */
export async function plannedStop(options: PlannedStopOptions): Promise<void> {
  const { entry, door, graceMs, clock, log } = options;
  const startedAtMs = clock.nowMs();
  log.info('stopping', { inFlight: entry.inFlight });
  let begun = 0;
  for (;;) {
    const tookMs = clock.nowMs() - startedAtMs;
    const phase = stopPhase(tookMs, graceMs);
    for (; begun <= ORDER.indexOf(phase); begun += 1) {
      log.info('stop phase', { phase: ORDER[begun], inFlight: entry.inFlight });
      BEGIN[ORDER[begun]!](options, startedAtMs);
    }
    const { inFlight } = entry;
    const { unwritten } = door;
    const connections = await door.connections();
    const isQuiet = inFlight === 0 && unwritten === 0;
    const isShut = !door.isListening;
    const isDone = isQuiet && isShut && (phase === 'ending' || connections === 0);
    if (isDone || phase === 'over') {
      log.info('stopped', { phase, inFlight, unwritten, connections, tookMs: Math.round(tookMs) });
      return;
    }
    await new Promise<void>((resolve) => {
      clock.after(LOOK_MS, resolve);
    });
  }
}

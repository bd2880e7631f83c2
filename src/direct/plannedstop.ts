import type { Clock, Ms } from '../base/index.js';
import { acceptRequestsMs, stopPhase, stopTimes } from '../core/plannedstop/index.js';
import type { Log } from '../port/index.js';
import type { DirectEntry } from './directentry.js';

/** The part of the server for callers that a stop uses. */
interface CallerServer {
  /** Sends `Connection: close` with all answers from now on; requests that are read after `untilMs` are refused. */
  leave(untilMs: Ms): void;
  /** Refuses requests from now on; closes the listener and idle connections once nothing arrives on them. */
  shut(): void;
  /** Closes the listener, after `shut`, although connections still arrive: as soon as none waits to be accepted. */
  closeListener(): void;
  /** True while new connections are accepted. */
  readonly isListening: boolean;
  /** Number of requests that were read and whose answers are not written yet. */
  readonly unwritten: number;
  /**
   * Number of connections that close after their last answer and that their callers have not ended yet, or whose callers
   * may be sending a further request.
   */
  readonly closing: number;
  connections(): Promise<number>;
  /** Reads and refuses what has arrived, within a bounded number of turns of the event loop. */
  refuseArrived(): Promise<void>;
}

type Phase = ReturnType<typeof stopPhase>;

/** Options of a planned stop. */
interface PlannedStopOptions {
  readonly entry: DirectEntry;
  readonly server: CallerServer;
  readonly graceMs: Ms;
  /** When the stop was requested, from which on the grace period counts; absent: now. */
  readonly requestedAtMs?: Ms;
  readonly clock: Clock;
  readonly log: Log;
  /** Called at the start of each phase. */
  readonly entered?: (phase: Phase) => void;
}

const POLL_MS = 50;

/** Actions at the start of each phase. */
const BEGIN: Readonly<Record<Phase, (options: PlannedStopOptions, startedAtMs: Ms) => void>> = {
  listening: ({ entry, server, graceMs }, startedAtMs) => {
    const { refusingMs, endingMs } = stopTimes(graceMs);
    entry.retire(startedAtMs + refusingMs, startedAtMs + endingMs);
    server.leave(startedAtMs + acceptRequestsMs(graceMs));
    void entry.release();
  },
  finishing: ({ server }) => server.shut(),
  refusing: ({ entry, server }) => {
    entry.stopWaiting();
    server.closeListener();
  },
  ending: ({ entry }) => entry.endAll(),
  over: () => {},
};

const ORDER: readonly Phase[] = ['listening', 'finishing', 'refusing', 'ending', 'over'];

/**
 * Stops an entry within its grace period; resolves when its process may exit. Every request that was read gets an
 * answer before its connection closes. Without the phases, 2 of 14 requests in flight at the end of the grace period,
 * which waited for a model, got none.
 */
export async function plannedStop(options: PlannedStopOptions): Promise<void> {
  const { entry, server, graceMs, clock, log } = options;
  const startedAtMs = options.requestedAtMs ?? clock.nowMs();
  log.info('stopping', { inFlight: entry.inFlight });
  let startedPhases = 0;
  for (;;) {
    const tookMs = clock.nowMs() - startedAtMs;
    const phase = stopPhase(tookMs, graceMs);
    for (; startedPhases <= ORDER.indexOf(phase); startedPhases += 1) {
      log.info('stop phase', { phase: ORDER[startedPhases], inFlight: entry.inFlight });
      options.entered?.(ORDER[startedPhases]!);
      BEGIN[ORDER[startedPhases]!](options, startedAtMs);
    }
    const { inFlight } = entry;
    const { unwritten, closing } = server;
    const connections = await server.connections();
    const isQuiet = inFlight === 0 && unwritten === 0;
    const isShut = !server.isListening;
    // An exit resets connections whose callers still write, which would overtake the answers on them.
    const isUnused = connections === 0 || (phase === 'ending' && closing === 0);
    const isDone = isQuiet && isShut && isUnused;
    if (isDone || phase === 'over') {
      // A process that got no processor for a while finds late timers before requests that have long arrived.
      if (!isDone) await server.refuseArrived();
      const left = { inFlight, unwritten, connections, closing };
      log.info('stopped', { phase, ...left, tookMs: Math.round(tookMs) });
      return;
    }
    await new Promise<void>((resolve) => {
      clock.after(POLL_MS, resolve);
    });
  }
}

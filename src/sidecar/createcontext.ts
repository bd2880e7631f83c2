import type { Engine } from '../port/index.js';
import { createHostClock } from '../shell/clock/index.js';
import { createAudit, createLog } from '../shell/log/index.js';
import { createMetrics } from '../shell/metric/index.js';
import type { MeshBoard } from '../shell/mesh/index.js';
import { createStore } from '../shell/store/index.js';
import { peerCredentials } from '../shell/tls/index.js';
import { UpstreamKey } from './incarnation/index.js';
import type { Context } from './part/index.js';
import type { SidecarSettings } from './sidecarsettings.js';
import { createBoard } from './wiring/createboard.js';

/** A context that can be closed. */
interface OpenContext extends Context {
  readonly board: MeshBoard;
  close(): void;
}

/** Creates the drivers that a sidecar's parts share, and starts taking the incarnation. */
export function createContext(settings: SidecarSettings, engine: Engine | undefined): OpenContext {
  const log = createLog('sidecar', settings.logLevel);
  const clock = createHostClock(log);
  const metrics = createMetrics('sidecar', settings.statsd ?? undefined);
  const store = createStore(settings.store, clock, metrics);
  const upstreamKey = new UpstreamKey(settings.upstream, { store, clock, log });
  const closers: (() => void)[] = [() => upstreamKey.stop()];
  upstreamKey.start();
  const credentials = peerCredentials(settings.peerTls, log);
  closers.push(() => credentials.close());
  const leavingListeners: (() => void)[] = [];
  const onLeaving = () => {
    for (const act of leavingListeners) act();
  };
  const shared = { settings, clock, log, metrics, store, credentials };
  const board = createBoard({ ...shared, onLeaving });
  closers.push(() => board.stop());
  return {
    settings,
    engine,
    log,
    clock,
    metrics,
    audit: createAudit(log),
    board,
    credentials,
    store,
    incarnation: upstreamKey,
    intents: upstreamKey,
    onLeaving: (act) => {
      leavingListeners.push(act);
    },
    onStop: (act) => {
      closers.push(act);
    },
    close() {
      for (const end of closers) end();
    },
  };
}

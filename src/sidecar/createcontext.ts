import { systemClock } from '../base/index.js';
import type { Engine } from '../port/index.js';
import { createAudit, createLog } from '../shell/log/index.js';
import { createMetrics } from '../shell/metric/index.js';
import { createStore } from '../shell/store/index.js';
import type { Context } from './part/index.js';
import type { SidecarSettings } from './sidecarsettings.js';
import { createBoard } from './wiring/createboard.js';

/** Builds the drivers that a sidecar's parts share. */
export function createContext(settings: SidecarSettings, engine: Engine | undefined): Context {
  const log = createLog('sidecar', settings.logLevel);
  return {
    settings,
    engine,
    log,
    clock: systemClock,
    metrics: createMetrics('sidecar', settings.statsd ?? undefined),
    audit: createAudit(log),
    board: createBoard(),
    store: createStore(settings.store, systemClock),
  };
}

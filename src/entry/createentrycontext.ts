import xxhash from 'xxhash-wasm';
import { type Revision } from '../base/index.js';
import { ConnectionGuard } from '../shell/callers/index.js';
import { createHostClock } from '../shell/clock/index.js';
import { createAudit, createLog } from '../shell/log/index.js';
import { createMetrics } from '../shell/metric/index.js';
import { createStore } from '../shell/store/index.js';
import { peerCredentials } from '../shell/tls/index.js';
import { HeldAnswers } from './answer/index.js';
import { defaultLimits } from './defaultlimits.js';
import type { EntryContext } from './entrycontext.js';
import type { EntrySettings } from './entrysettings.js';
import { Gate } from './gate.js';
import { KeyIndex } from './keyindex.js';
import { SharedLink } from './link/index.js';
import { createBoard } from './wiring/createboard.js';
import { createDirectory } from './wiring/createdirectory.js';
import { createPlanner } from './wiring/createplanner.js';
import { createRouter } from './wiring/createrouter.js';
import { createTickets } from './wiring/createtickets.js';

/** Bodies that are being read may take at least this many times the largest body, whatever the limit. */
const MIN_BODIES = 2;

function createDependencies(settings: EntrySettings) {
  const log = createLog('entry', settings.logLevel);
  const clock = createHostClock(log);
  const metrics = createMetrics('entry', settings.statsd ?? undefined);
  const store = createStore(settings.store, clock, metrics);
  const credentials = peerCredentials(settings.peerTls, log);
  const drivers = { settings, clock, log, metrics, store, credentials };
  const board = createBoard(drivers);
  const link = new SharedLink({
    clock,
    credentials: credentials.channel,
    revision: (sidecarAddress) => board.revisionForSidecar(sidecarAddress),
    observeRevision: (revision, from) => board.observeRevision(revision as Revision, from),
  });
  return { ...drivers, link, board, audit: createAudit(log) };
}

/** Creates what all request handlers of an entry share. */
export async function createEntryContext(settings: EntrySettings): Promise<EntryContext> {
  const dependencies = createDependencies(settings);
  const directory = createDirectory(dependencies);
  const router = createRouter(dependencies, directory);
  const limits = { ...defaultLimits, ...settings.limits };
  const { clock, log, metrics } = dependencies;
  const guard = new ConnectionGuard({
    clock,
    log,
    limits: () => ({
      connections: limits.connections,
      requestsAhead: limits.requestsAhead,
      requestsUnderWay: limits.requestsUnderWay,
      heldBytes: Math.max(limits.callerMemoryBytes, MIN_BODIES * settings.bodyBytes),
      bodyIdleMs: limits.requestTimeoutMs,
      callerStallMs: limits.callerStallMs,
    }),
    closed: (reason) => metrics.count('caller_closed', 1, { reason }),
    observed: (heldBytes) => metrics.gauge('caller_bytes', heldBytes),
  });
  const { h64ToString } = await xxhash();
  return {
    ...dependencies,
    directory,
    router,
    planner: createPlanner(dependencies, directory, router),
    tickets: createTickets(dependencies, directory),
    limits,
    gate: new Gate(limits),
    guard,
    heldAnswers: new HeldAnswers(limits.heldAnswersBytes),
    keys: new KeyIndex(),
    hashPrefix: h64ToString,
    runs: new Set(),
  };
}

import type { RunOptions } from './runoptions.js';
import { SimEngine, type EngineListener } from './simengine.js';
import type { SimUpstream } from './simupstream.js';

const PACE_GOAL_MS = 53;

/** Creates the upstreams of a run with empty memory. `listenerFor` returns the listener of an upstream's engine. */
export function createUpstreams(
  run: RunOptions,
  listenerFor: (upstream: () => SimUpstream) => EngineListener,
): readonly SimUpstream[] {
  const { deployment, curve, slotsFactor = 1 } = run;
  const { document } = deployment;
  const upstreams: SimUpstream[] = [];
  for (const group of document.groups) {
    for (const { id } of group.upstreams) {
      const index = upstreams.length;
      const memoryBytes = group.memoryBytes - group.kvCacheReserveBytes;
      const queue = run.queue({
        type: group.type,
        kinds: document.kinds,
        customers: document.customers,
        slots: Math.max(1, Math.round(group.slots * (group.type === 'engine' ? slotsFactor : 1))),
        paceGoalMs: PACE_GOAL_MS,
        longJobs: document.limits.longJobsPerUpstream,
        queueLimit: document.limits.queuePerUpstream,
      });
      const engine =
        group.type === 'engine'
          ? new SimEngine(
              curve,
              listenerFor(() => upstreams[index]!),
            )
          : undefined;
      upstreams.push({
        index,
        id,
        group,
        queue,
        engine,
        memoryBytes,
        freeBytes: memoryBytes,
        flights: new Map(),
        residents: new Map(),
        alive: true,
        incarnation: 0,
        wakeAtMs: Infinity,
        engineDueAtMs: Infinity,
        running: 0,
        queued: 0,
        paceAtMs: 0,
      });
    }
  }
  return upstreams;
}

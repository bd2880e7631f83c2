import { Cluster } from './mesh/cluster.js';
import { summary } from './mesh/summary.js';

const ENTRY_COUNT = 48;
const SIDECAR_COUNT = 16;
const NODE_COUNT = ENTRY_COUNT + SIDECAR_COUNT;
const OUTAGE_MS = 1500;

/** Propagation times of one scenario: to every node, and to the last node of each change. */
class PropagationTimes {
  private readonly perNode: number[] = [];

  private readonly slowest: number[] = [];

  add(times: readonly number[]): void {
    this.perNode.push(...times);
    this.slowest.push(Math.max(...times));
  }

  report(): object {
    return { toEachNode: summary(this.perNode), toAllNodes: summary(this.slowest) };
  }
}

async function measureChange(cluster: Cluster): Promise<readonly number[]> {
  const startMs = performance.now();
  const revision = await cluster.write();
  return cluster.propagationTimes(revision, startMs);
}

async function faultFree(cluster: Cluster): Promise<object> {
  const times = new PropagationTimes();
  for (let count = 0; count < 60; count += 1) {
    times.add(await measureChange(cluster));
    await cluster.pause(60);
  }
  return times.report();
}

async function relayKilled(cluster: Cluster): Promise<object> {
  const times = new PropagationTimes();
  for (let count = 0; count < 6; count += 1) {
    const victim = cluster.relays()[count % 2];
    if (!victim) break;
    await cluster.kill(victim.id);
    times.add(await measureChange(cluster));
    await cluster.pause(300);
    times.add(await measureChange(cluster));
    await cluster.launch(victim.id, victim.role, victim.address);
    await cluster.waitUntil(() => cluster.live().every(({ board }) => board.caughtUp()));
    await cluster.pause(500);
  }
  return times.report();
}

/** Kills and restarts a tenth of the nodes in each round. The times include the restarted nodes. */
async function tenthRestarting(cluster: Cluster): Promise<object> {
  const times = new PropagationTimes();
  for (let round = 0; round < 6; round += 1) {
    const ids = cluster.live().map(({ id }) => id);
    const victimIds = ids.filter((_, index) => index % 10 === round);
    const killed = victimIds
      .map((id) => cluster.nodes.get(id))
      .filter((node) => node !== undefined);
    for (const { id } of killed) await cluster.kill(id);
    const startMs = performance.now();
    const revision = await cluster.write();
    for (const { id, role, address } of killed) await cluster.launch(id, role, address);
    times.add(await cluster.propagationTimes(revision, startMs));
    await cluster.waitUntil(() => cluster.live().every(({ board }) => board.caughtUp()));
    await cluster.pause(300);
  }
  return times.report();
}

/** The store becomes unavailable and its watches close as soon as it has accepted a change. */
async function outageAfterAcceptance(cluster: Cluster): Promise<object> {
  const times = new PropagationTimes();
  for (let round = 0; round < 5; round += 1) {
    await cluster.waitUntil(() => cluster.relays().length >= 2);
    const startMs = performance.now();
    const revision = await cluster.write();
    cluster.storeDown();
    const pendingTimes = cluster.propagationTimes(revision, startMs);
    await cluster.pause(OUTAGE_MS);
    cluster.storeUp();
    times.add(await pendingTimes);
  }
  return { outageMs: OUTAGE_MS, ...times.report() };
}

const SCENARIOS = { faultFree, relayKilled, tenthRestarting, outageAfterAcceptance };

/** Measures the time from acceptance by the store until in force on each of 64 nodes, with and without faults. */
export async function meshSpread(): Promise<object> {
  const cluster = await Cluster.start({ entryCount: ENTRY_COUNT, sidecarCount: SIDECAR_COUNT });
  const report: Record<string, object> = {};
  for (const [name, scenario] of Object.entries(SCENARIOS)) report[name] = await scenario(cluster);
  await cluster.close();
  return { nodeCount: NODE_COUNT, ...report };
}

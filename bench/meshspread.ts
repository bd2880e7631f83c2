import { Cluster } from './mesh/cluster.js';
import { summary } from './mesh/summary.js';

const ENTRY_COUNT = 48;
const SIDECAR_COUNT = 16;
const NODE_COUNT = ENTRY_COUNT + SIDECAR_COUNT;
const OUTAGE_MS = 1500;

/** Times of one scenario: to each node, and to the last node of each change. */
class Times {
  private readonly each: number[] = [];

  private readonly all: number[] = [];

  add(times: readonly number[]): void {
    this.each.push(...times);
    this.all.push(Math.max(...times));
  }

  report(): object {
    return { toEachNode: summary(this.each), toAllNodes: summary(this.all) };
  }
}

async function change(cluster: Cluster): Promise<readonly number[]> {
  const startMs = performance.now();
  const revision = await cluster.write();
  return cluster.spread(revision, startMs);
}

async function faultFree(cluster: Cluster): Promise<object> {
  const times = new Times();
  for (let count = 0; count < 60; count += 1) {
    times.add(await change(cluster));
    await cluster.pause(60);
  }
  return times.report();
}

async function relayKilled(cluster: Cluster): Promise<object> {
  const times = new Times();
  for (let count = 0; count < 6; count += 1) {
    const victim = cluster.relays()[count % 2];
    if (!victim) break;
    await cluster.kill(victim.id);
    times.add(await change(cluster));
    await cluster.pause(300);
    times.add(await change(cluster));
    await cluster.launch(victim.id, victim.role, victim.address);
    await cluster.until(() => cluster.live().every(({ board }) => board.caughtUp()));
    await cluster.pause(500);
  }
  return times.report();
}

/** A tenth of the nodes go and come back; counted until those, too, have the change in force. */
async function tenthRestarting(cluster: Cluster): Promise<object> {
  const times = new Times();
  for (let round = 0; round < 6; round += 1) {
    const ids = cluster.live().map(({ id }) => id);
    const victims = ids.filter((_, index) => index % 10 === round);
    const olds = victims.map((id) => cluster.nodes.get(id)).filter((node) => node !== undefined);
    for (const { id } of olds) await cluster.kill(id);
    const startMs = performance.now();
    const revision = await cluster.write();
    for (const { id, role, address } of olds) await cluster.launch(id, role, address);
    times.add(await cluster.spread(revision, startMs));
    await cluster.until(() => cluster.live().every(({ board }) => board.caughtUp()));
    await cluster.pause(300);
  }
  return times.report();
}

/** The store refuses every call, and its watches are cut, as soon as it has accepted a change. */
async function outageAfterAcceptance(cluster: Cluster): Promise<object> {
  const times = new Times();
  for (let round = 0; round < 5; round += 1) {
    await cluster.until(() => cluster.relays().length >= 2);
    const startMs = performance.now();
    const revision = await cluster.write();
    cluster.storeDown();
    const spread = cluster.spread(revision, startMs);
    await cluster.pause(OUTAGE_MS);
    cluster.storeUp();
    times.add(await spread);
  }
  return { outageMs: OUTAGE_MS, ...times.report() };
}

const SCENARIOS = { faultFree, relayKilled, tenthRestarting, outageAfterAcceptance };

/** Time from acceptance in the store to in force on 64 nodes, with and without faults. */
export async function meshSpread(): Promise<object> {
  const cluster = await Cluster.start({ entryCount: ENTRY_COUNT, sidecarCount: SIDECAR_COUNT });
  const report: Record<string, object> = {};
  for (const [name, scenario] of Object.entries(SCENARIOS)) report[name] = await scenario(cluster);
  await cluster.close();
  return { nodeCount: NODE_COUNT, ...report };
}

import test from 'ava';
import { VirtualClock, type ModelId, type UpstreamId } from '../src/base/index.js';
import type { ServiceDocument } from '../src/core/document/index.js';
import { explain, Planner } from '../src/entry/planner/index.js';
import { UpstreamRecord, type PlacementPlan, type PlacementReply } from '../src/wire/index.js';
import { MemoryStore } from '../standin/index.js';
import { fakeContext } from './support/fakecontext.js';

const GB = 1_000_000_000;
const UPSTREAMS = ['redactor-1', 'redactor-2'];

const document = {
  service: 'redactor',
  region: 'cantabrico',
  kinds: [{ name: 'draft', weight: 1 }],
  models: [
    { id: 'notice', version: '1', sizeBytes: 20 * GB, defaultKind: 'draft' },
    { id: 'letter', version: '1', sizeBytes: 20 * GB, defaultKind: 'draft' },
  ],
  adapters: [{ id: 'galician', model: 'notice', sizeBytes: GB }],
  weightStore: { loadsPerSecond: 3, parallelLoads: 4 },
  placement: { movePenalty: 5, spareUpstreams: 1 },
  groups: UPSTREAMS.map((id, index) => ({
    availabilityZone: `zone-${index}`,
    type: 'engine',
    memoryBytes: 80 * GB,
    kvCacheReserveBytes: 20 * GB,
    slots: 16,
    role: 'mixed',
    upstreams: [{ id, sidecarAddress: id }],
  })),
} as unknown as ServiceDocument;

/** Sidecars that refuse a plan whose epoch is lower than one that they have seen. */
class Sidecars {
  readonly plans: PlacementPlan[] = [];

  refusedCount = 0;

  private epoch = 0;

  answer = (_address: string, plan: PlacementPlan): PlacementReply => {
    const accepted = plan.epoch >= this.epoch;
    this.epoch = Math.max(this.epoch, plan.epoch);
    if (accepted) this.plans.push(plan);
    else this.refusedCount += 1;
    return { accepted, epoch: this.epoch, refusal: undefined };
  };
}

function open(hostId: string, clock: VirtualClock, store: MemoryStore, sidecars: Sidecars) {
  const context = fakeContext(hostId, clock, store, sidecars.answer);
  for (const upstream of UPSTREAMS) {
    const record = UpstreamRecord.fromPartial({ upstream, phase: 'ready', incarnation: 1 });
    const value = Buffer.from(UpstreamRecord.encode(record).finish());
    context.board.publish({ key: `upstream/redactor/${upstream}`, epoch: 1, sequence: 1, value });
  }
  const heard: string[] = [];
  const router = {
    phases: () => new Map(UPSTREAMS.map((id) => [id as UpstreamId, 'ready' as const])),
    observe: (_service: string, { type }: { readonly type: string }) => heard.push(type),
  };
  const directory = { documents: () => [document], caughtUp: () => true };
  const status = () => ({ relay: true, entryCount: 2 });
  const planner = new Planner(
    context as never,
    directory as never,
    router as never,
    status as never,
  );
  return { context, planner, heard, router };
}

async function run(clock: VirtualClock, untilMs: number): Promise<void> {
  while (clock.nowMs() < untilMs) {
    clock.advanceTo(clock.nowMs() + 500);
    // Lets the answers of the in-memory store arrive without advancing the clock.
    for (let pass = 0; pass < 8; pass += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

test('when the lease of the planning entry expires, another entry plans under a higher epoch and the first one is fenced off', async (t) => {
  const store = new MemoryStore({ clock: new VirtualClock() });
  const sidecars = new Sidecars();
  const [firstClock, secondClock] = [new VirtualClock(), new VirtualClock()];
  const first = open('entry-1', firstClock, store, sidecars);
  const second = open('entry-2', secondClock, store, sidecars);
  first.planner.start();
  await run(firstClock, 4_000);
  const [plan] = sidecars.plans;
  t.truthy(plan);
  const models = new Set(sidecars.plans.flatMap((each) => each.models.map(({ model }) => model)));
  t.deepEqual([...models].sort(), ['letter', 'notice']);
  t.true(first.context.acts.some(({ act }) => act === 'place-model'));
  t.true(first.heard.includes('heard'));

  second.planner.start();
  await run(secondClock, 6_000);
  t.is(second.planner.explain(document.service), undefined, 'only one entry holds the lease');

  // The first entry is suspended, and its lease expires.
  const leases = (store as unknown as { clock: VirtualClock }).clock;
  leases.advanceTo(60_000);
  await run(secondClock, 16_000);
  const epochs = sidecars.plans.map(({ epoch }) => epoch);
  t.true(Math.max(...epochs) > (plan?.epoch ?? 0));

  await run(firstClock, 16_000);
  t.is(first.planner.explain(document.service), undefined);
  const late = sidecars.plans
    .slice(epochs.length)
    .every(({ epoch }) => epoch === Math.max(...epochs));
  t.true(late);

  const explanations = explain(
    { ...second.context, router: second.router, planner: second.planner } as never,
    [document],
    'notice' as ModelId,
  );
  t.is(explanations[0]?.planner?.places[0]?.reason, 'ordered');
  t.is(explanations[0]?.movePenalty, 5);
  first.planner.stop();
  second.planner.stop();
});

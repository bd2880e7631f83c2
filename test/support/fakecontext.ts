import type { Clock } from '../../src/base/index.js';
import type { KeyValueStore } from '../../src/port/index.js';
import { MemoryBoard } from '../../src/shell/board/index.js';
import type { PlacementPlan, PlacementReply } from '../../src/wire/index.js';

/** Replies to a plan as a sidecar would; undefined if the sidecar does not answer. */
type Answer = (address: string, plan: PlacementPlan) => PlacementReply | undefined;

/** Creates the context of an entry with an in-memory board and sidecars whose replies come from a function. */
export function fakeContext(hostId: string, clock: Clock, store: KeyValueStore, answer: Answer) {
  const acts: { readonly act: string; readonly subject: string }[] = [];
  const client = (address: string) => ({
    place(
      plan: PlacementPlan,
      _metadata: unknown,
      _options: unknown,
      callback: (error: Error | null, reply?: PlacementReply) => void,
    ) {
      const reply = answer(address, plan);
      callback(reply ? null : new TypeError('unreachable'), reply);
    },
  });
  return {
    acts,
    settings: { hostId, region: 'cantabrico', availabilityZone: 'oviedo-a' },
    clock,
    store,
    link: { client },
    board: new MemoryBoard(),
    log: { info: () => {}, warn: () => {}, error: () => {} },
    metrics: { count: () => {}, gauge: () => {}, histogram: () => {} },
    audit: { write: (entry: (typeof acts)[number]) => acts.push(entry) },
  };
}

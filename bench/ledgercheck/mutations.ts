import type { Incarnation } from '../../src/base/index.js';
import { defaultFenceRules, type FenceRules } from '../../src/core/fence/index.js';
import { defaultLedgerRules, type LedgerRules } from '../../src/core/ledger/index.js';
import { defaultResidencyRules, type ResidencyRules } from '../../src/core/residency/index.js';

/** A safety guard and the rules that disable it. */
interface Mutation {
  readonly name: string;
  /** The fault that the mutated system has. */
  readonly wrong: string;
  /** Values of the upstream's `checksFencing` for which the guard is needed. */
  readonly checksFencing: readonly boolean[];
  /** True if a short run rarely finds a counterexample. In CI a golden session covers this guard instead. */
  readonly isRare?: boolean;
  readonly fence?: FenceRules;
  readonly residency?: ResidencyRules;
}

const BOTH = [true, false];

function withLedgerRules(change: Partial<LedgerRules>): ResidencyRules {
  return { ...defaultResidencyRules, ledger: { ...defaultLedgerRules, ...change } };
}

function withResidencyRules(change: Partial<ResidencyRules>): ResidencyRules {
  return { ...defaultResidencyRules, ...change };
}

/** All guards, each disabled on its own. */
export const mutations: readonly Mutation[] = [
  {
    name: 'reserve-before-sending',
    wrong: 'a load reserves memory only after it has been sent',
    checksFencing: BOTH,
    residency: withLedgerRules({
      reservesMemory: ({ phase }) => phase !== 'intended' && phase !== 'sent',
    }),
  },
  {
    name: 'unknown-keeps-reservation',
    wrong: 'an unconfirmed order releases its memory reservation',
    checksFencing: BOTH,
    residency: withLedgerRules({ reservesMemory: ({ phase }) => phase !== 'unknown' }),
  },
  {
    name: 'only-settled-resolves',
    wrong: 'a report that does not show the model resolves its load',
    checksFencing: BOTH,
    residency: withLedgerRules({
      provesResolved: (report, { order }) =>
        report.settledOrderIds.includes(order.orderId) ||
        !report.residents.some(({ model }) => model === order.model),
    }),
  },
  {
    name: 'restart-is-no-proof',
    wrong: 'an engine restart resolves the orders sent to the previous process',
    checksFencing: BOTH,
    residency: withLedgerRules({ survivesRestart: () => false }),
  },
  {
    name: 'unload-frees-on-report',
    wrong: 'an unload releases memory as soon as it is sent',
    checksFencing: BOTH,
    residency: withLedgerRules({
      countsAsUsed: ({ key }, { openOrders }) =>
        ![...openOrders.values()].some(
          (open) => open.key === key && open.order.action.startsWith('unload'),
        ),
    }),
  },
  {
    name: 'reports-in-order',
    wrong: 'an older report replaces a newer one',
    checksFencing: BOTH,
    residency: withLedgerRules({ isNewReport: () => true }),
  },
  {
    name: 'cache-reserve',
    wrong: 'the memory reserved for the KV cache is used for models',
    checksFencing: BOTH,
    residency: withLedgerRules({ kvCacheReserve: () => 0 }),
  },
  {
    name: 'role-reserve',
    wrong: 'a role change reserves no memory for the KV cache of the new role',
    checksFencing: BOTH,
    residency: withLedgerRules({
      kvCacheReserve: ({ kvCacheReserveBytes, role }) => kvCacheReserveBytes[role],
    }),
  },
  {
    name: 'intent-first',
    wrong: 'an order is sent before its intent is in the store',
    checksFencing: [false],
    residency: withResidencyRules({ isRecorded: () => true }),
  },
  {
    name: 'fresh-proof',
    wrong: 'an order is sent on a proof of ownership from before a long suspension',
    checksFencing: [false],
    isRare: true,
    residency: withResidencyRules({ isFresh: () => true }),
  },
  {
    name: 'report-after-taking',
    wrong: 'a successor sends orders based on a report requested before it took the incarnation',
    checksFencing: [false],
    residency: withResidencyRules({ hasCurrentReport: () => true }),
  },
  {
    name: 'read-back',
    wrong: 'a write whose answer was lost counts as written',
    checksFencing: [false],
    fence: { ...defaultFenceRules, trustsLostAnswer: true },
  },
  {
    name: 'superseded-stops',
    wrong: 'a sidecar that finds a later incarnation overwrites it and continues',
    checksFencing: [false],
    fence: { ...defaultFenceRules, isSuperseded: () => false },
  },
  {
    name: 'intents-inherited',
    wrong: 'a successor ignores the intents of earlier incarnations',
    checksFencing: [false],
    residency: withResidencyRules({ inherit: () => [] }),
  },
  {
    name: 'barrier',
    wrong: 'a successor loads models before the engine rejects earlier fencing tokens',
    checksFencing: [true],
    residency: withResidencyRules({ hasBarrier: () => true }),
  },
  {
    name: 'own-token',
    wrong: 'an order carries the highest reported fencing token, which fences off no other sidecar',
    checksFencing: [true],
    residency: withResidencyRules({
      showsSuccessor: () => false,
      tokenOf: ({ incarnation, ledger: { highestFencingToken } }) =>
        Math.max(incarnation, highestFencingToken) as Incarnation,
    }),
  },
  {
    name: 'pins-hold-unloads',
    wrong: 'a holding is unloaded while requests use it',
    checksFencing: BOTH,
    residency: withResidencyRules({ isPinned: () => false }),
  },
  {
    name: 'marked-takes-no-pins',
    wrong: 'a holding that is about to be unloaded accepts new requests',
    checksFencing: BOTH,
    residency: withResidencyRules({ isBeingRemoved: () => false }),
  },
];

import type { Incarnation } from '../../src/base/index.js';
import { defaultFenceRules, type FenceRules } from '../../src/core/fence/index.js';
import { defaultLedgerRules, type LedgerRules } from '../../src/core/ledger/index.js';
import { residencyRulesInForce, type ResidencyRules } from '../../src/core/residency/index.js';

/** One guard turned off. */
interface Mutation {
  readonly name: string;
  /** What the mutated system does wrong. */
  readonly wrong: string;
  /** Kinds of upstream on which the guard matters. */
  readonly checksFencing: readonly boolean[];
  /** Too rare for the short run of CI: a golden session shows this guard there. */
  readonly isRare?: boolean;
  readonly fence?: FenceRules;
  readonly residency?: ResidencyRules;
}

const BOTH = [true, false];

function ledger(change: Partial<LedgerRules>): ResidencyRules {
  return { ...residencyRulesInForce, ledger: { ...defaultLedgerRules, ...change } };
}

function residency(change: Partial<ResidencyRules>): ResidencyRules {
  return { ...residencyRulesInForce, ...change };
}

/** Every guard, each turned off alone. */
export const mutations: readonly Mutation[] = [
  {
    name: 'reserve-before-sending',
    wrong: 'a load takes memory in the ledger only once it has been sent',
    checksFencing: BOTH,
    residency: ledger({ reservesMemory: ({ phase }) => phase !== 'intended' && phase !== 'sent' }),
  },
  {
    name: 'unknown-keeps-reservation',
    wrong: 'an order without an answer gives its memory back',
    checksFencing: BOTH,
    residency: ledger({ reservesMemory: ({ phase }) => phase !== 'unknown' }),
  },
  {
    name: 'only-settled-resolves',
    wrong: 'a report that does not show the model resolves its load',
    checksFencing: BOTH,
    residency: ledger({
      provesResolved: (report, { order }) =>
        report.settledOrderIds.includes(order.orderId) ||
        !report.residents.some(({ model }) => model === order.model),
    }),
  },
  {
    name: 'restart-is-no-proof',
    wrong: 'a new engine process resolves what the old one was sent',
    checksFencing: BOTH,
    residency: ledger({ survivesRestart: () => false }),
  },
  {
    name: 'unload-frees-on-report',
    wrong: 'an unload gives memory back as soon as it is sent',
    checksFencing: BOTH,
    residency: ledger({
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
    residency: ledger({ isNewReport: () => true }),
  },
  {
    name: 'cache-reserve',
    wrong: 'the reserve for the KV cache is given to models',
    checksFencing: BOTH,
    residency: ledger({ kvCacheReserve: () => 0 }),
  },
  {
    name: 'role-reserve',
    wrong: 'a change of role reserves nothing for the cache of the new role',
    checksFencing: BOTH,
    residency: ledger({
      kvCacheReserve: ({ kvCacheReserveBytes, role }) => kvCacheReserveBytes[role],
    }),
  },
  {
    name: 'intent-first',
    wrong: 'an order leaves before its intent is in the store',
    checksFencing: [false],
    residency: residency({ isRecorded: () => true }),
  },
  {
    name: 'fresh-proof',
    wrong: 'an order leaves on a proof from before a long pause',
    checksFencing: [false],
    isRare: true,
    residency: residency({ isFresh: () => true }),
  },
  {
    name: 'report-after-taking',
    wrong: 'a successor orders by a report that it asked for before it took the incarnation',
    checksFencing: [false],
    residency: residency({ hasCurrentReport: () => true }),
  },
  {
    name: 'read-back',
    wrong: 'a write without an answer counts as written',
    checksFencing: [false],
    fence: { ...defaultFenceRules, trustsLostAnswer: true },
  },
  {
    name: 'superseded-stops',
    wrong: 'a sidecar that finds a later incarnation writes over it and goes on',
    checksFencing: [false],
    fence: { ...defaultFenceRules, isSuperseded: () => false },
  },
  {
    name: 'intents-inherited',
    wrong: 'a successor forgets the intents of those before it',
    checksFencing: [false],
    residency: residency({ inherit: () => [] }),
  },
  {
    name: 'barrier',
    wrong: 'a successor loads before the engine refuses earlier tokens',
    checksFencing: [true],
    residency: residency({ hasBarrier: () => true }),
  },
  {
    name: 'own-token',
    wrong: 'an order carries the highest token that a report has shown, which stops nobody',
    checksFencing: [true],
    residency: residency({
      showsSuccessor: () => false,
      tokenOf: ({ incarnation, ledger: { highestFencingToken } }) =>
        Math.max(incarnation, highestFencingToken) as Incarnation,
    }),
  },
  {
    name: 'pins-hold-unloads',
    wrong: 'a holding is unloaded while requests use it',
    checksFencing: BOTH,
    residency: residency({ isPinned: () => false }),
  },
  {
    name: 'marked-takes-no-pins',
    wrong: 'a holding that is about to be unloaded takes new requests',
    checksFencing: BOTH,
    residency: residency({ isBeingRemoved: () => false }),
  },
];

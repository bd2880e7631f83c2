import { shape, type Check } from '../../core/shape/index.js';
import { maxEntryCount } from './maxentrycount.js';

const { amount, any, boolean, count, duration, listOf, number } = shape;
const { object, optional, string, text, variant } = shape;
const entryCount = shape.positiveUpTo(maxEntryCount);

const origin = object({
  service: text,
  softwareVersion: optional(string),
  weightsVersion: optional(string),
});
const target = object({
  service: text,
  model: optional(string),
  adapter: optional(string),
  origin: optional(origin),
});
const item = object({ key: text, value: string, revision: count });
const change = variant('type', {
  put: object({ item }),
  deleted: object({ key: text, revision: count }),
});
const failure = object({ type: text, detail: string });
/** The outcome of a store's call that another entry has made. */
const relayed = (isOutcome: Check) =>
  variant('ok', { true: isOutcome, false: object({ failure }) });
/** Suspects are checked one by one where they are read. */
const suspects = object({ suspects: listOf(any) });
const reportedState = object({
  upstream: text,
  startedAtMs: optional(number),
  ratePerS: optional(amount),
  rateAgeMs: optional(number),
  isLeaving: optional(boolean),
  sentBefore: optional(amount),
});
const cursor = { epoch: count, index: count };
const loads = listOf(object({ upstream: text, running: amount }));
const paces = listOf(object({ upstream: text, percent: amount }));
const poisonReport = object({ heard: optional(object({})), news: optional(suspects) });
const quotaReport = object({
  customers: listOf(object({ customer: text, wanted: amount, held: amount, returned: amount })),
});

const member = object({ entry: text, address: shape.address, availabilityZone: string });

const copies = object({
  copies: listOf(object({ id: text, origin, sequence: count, keepMs: duration })),
});

/** Checks of the requests of other entries, by path. */
const requests = {
  find: target,
  demand: object({
    entry: text,
    address: shape.address,
    availabilityZone: optional(string),
    membersDigest: optional(number),
    models: listOf(
      object({
        service: text,
        model: text,
        arrivals: amount,
        ended: amount,
        endedMs: optional(amount),
        running: number,
        waiting: number,
        refusedFull: optional(amount),
        adapters: listOf(string),
        busyAdapters: listOf(string),
      }),
    ),
    lost: listOf(text),
    storeReachedMs: optional(amount),
    heard: optional(object(cursor)),
    poison: optional(poisonReport),
    quota: optional(quotaReport),
    standings: optional(listOf(reportedState)),
    connections: optional(
      listOf(object({ upstream: text, openCount: amount, neededCount: amount })),
    ),
    loads: optional(loads),
    paces: optional(paces),
  }),
  swap: object({
    key: text,
    expectedRevision: count,
    value: optional(string),
    leaseId: optional(string),
  }),
  changes: object({ after: count, waitMs: duration }),
  draw: object({ entry: text, customer: text, missing: amount, cost: amount }),
  slot: object({ entry: text, news: reportedState, rank: amount, waitMs: duration }),
  customers: any,
  trial: object({ traits: listOf(text), entry: text, isOver: boolean }),
  copyOrigins: copies,
  storeOrigins: copies,
  origin: object({ id: text }),
  suspects: any,
  lift: object({ trait: text }),
} as const;

/** Checks of the answers of other entries, by path. */
const answers = {
  find: variant('type', {
    ready: object({ upstream: text }),
    later: object({ inMs: duration, isUnderWay: boolean }),
    'not-holder': any,
  }),
  demand: object({
    entryCount,
    members: optional(object({ digest: number, members: optional(listOf(member)) })),
    storeReachedMs: optional(amount),
    news: object({
      ...cursor,
      changes: listOf(
        object({ upstream: text, model: text, adapter: optional(string), isThere: boolean }),
      ),
    }),
    poison: optional(suspects),
    quota: optional(
      object({
        parts: entryCount,
        grants: listOf(
          object({ customer: text, granted: amount, isEmpty: boolean, retryAfterMs: duration }),
        ),
      }),
    ),
    standings: optional(listOf(reportedState)),
    connections: optional(listOf(object({ upstream: text, count: amount }))),
    loads: optional(loads),
    paces: optional(paces),
  }),
  swap: relayed(
    object({
      outcome: variant('type', {
        swapped: object({ revision: count }),
        conflict: object({ current: optional(item) }),
      }),
    }),
  ),
  changes: relayed(object({ changes: object({ changes: listOf(change), revision: count }) })),
  draw: variant('type', {
    granted: object({ granted: amount }),
    empty: object({ retryAfterMs: duration }),
    'not-holder': any,
  }),
  slot: variant('type', {
    granted: any,
    later: object({ inMs: duration }),
    unlimited: any,
    'not-holder': any,
  }),
  customers: any,
  trial: object({ mayRun: boolean }),
  copyOrigins: any,
  storeOrigins: object({ isStored: boolean }),
  origin: variant('type', {
    known: object({ origin, sequence: count, ageMs: amount }),
    unknown: object({ keptMs: number, versionsRevision: optional(count) }),
  }),
  suspects: any,
  lift: any,
} as const;

/**
 * Checks of what entries send each other. Any process may answer at an address that another one had, and a value of
 * another form would end this process where it is used.
 */
export const peerShapes: Readonly<
  Record<'requests' | 'answers', Readonly<Record<keyof typeof requests, Check>>>
> = { requests, answers };

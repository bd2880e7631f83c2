import type { Transition, Failure, Incarnation, Ms, Revision } from '../../base/index.js';
import type { KeyValue } from '../../port/index.js';
import { chartTransition } from '../chart/index.js';
import chart from './fence.chart.json' with { type: 'json' };
import type { FenceEffect } from './fenceeffect.js';
import type { FenceEvent } from './fenceevent.js';
import type { FencePhase } from './fencephase.js';
import type { FenceRules } from './fencerules.js';
import { defaultFenceRules } from './defaultfencerules.js';
import type { FenceState } from './fencestate.js';
import type { Intent } from './intent.js';
import { readValue } from './readvalue.js';
import type { UpstreamValue } from './upstreamvalue.js';

type FenceChange = Transition<FenceState, FenceEffect>;

const INITIAL_RETRY_MS: Ms = 250;
const MAX_RETRY_MS: Ms = 10_000;

const after = chartTransition<FencePhase, 'taken' | 'overtaken'>(chart);

function isSame(one: Intent, other: Intent | undefined): boolean {
  return one.order.orderId === other?.order.orderId && one.attempt === other.attempt;
}

function areSame(one: readonly Intent[], other: readonly Intent[]): boolean {
  return one.length === other.length && one.every((intent, at) => isSame(intent, other[at]));
}

function write(
  state: FenceState,
  incarnation: Incarnation,
  intents: readonly Intent[],
  nowMs: Ms,
): FenceChange {
  const writing: UpstreamValue = { incarnation, owner: state.owner, intents };
  const value = JSON.stringify(writing);
  const swap: FenceEffect = { type: 'swap-key', expectedRevision: state.revision, value };
  return { state: { ...state, call: 'swap', calledAtMs: nowMs, writing }, effects: [swap] };
}

/** Sends the next store call if one is due and none is in flight. */
function sendNextCall(state: FenceState, nowMs: Ms): FenceChange {
  const waits = state.call !== 'none' || nowMs < state.retryAtMs;
  if (waits || state.phase === 'superseded') return { state, effects: [] };
  if (state.failing || state.phase === 'absent') {
    const reading = { ...state, call: 'read' as const, calledAtMs: nowMs };
    return { state: reading, effects: [{ type: 'read-key' }] };
  }
  if (areSame(state.recorded, state.wanted)) return { state, effects: [] };
  return write(state, state.incarnation, state.wanted, nowMs);
}

/** Records that the key holds these intents under our name, so a write has taken effect. */
function confirmRecorded(state: FenceState, intents: readonly Intent[]): FenceChange {
  const provenAtMs = state.calledAtMs;
  const effects: FenceEffect[] = [{ type: 'recorded', intents, provenAtMs }];
  return { state: { ...state, recorded: intents }, effects };
}

function take(state: FenceState, { incarnation, intents }: UpstreamValue): FenceChange {
  const phase = after(state.phase, 'taken');
  return {
    state: { ...state, phase, incarnation, recorded: intents, wanted: intents },
    effects: [{ type: 'taken', incarnation, inherited: intents }],
  };
}

/** Schedules a retry with exponential backoff. */
function retry(state: FenceState, failure: Failure, nowMs: Ms): FenceChange {
  const delayMs = Math.min(MAX_RETRY_MS, INITIAL_RETRY_MS * 2 ** state.failures);
  const failures = state.failures + 1;
  const waiting = { ...state, failing: true, failures, retryAtMs: nowMs + delayMs };
  return { state: waiting, effects: [{ type: 'store-failing', failure }] };
}

/** Compares the value of the key with our state: confirms our write, takes the key, or stops as superseded. */
function inspectKey(
  state: FenceState,
  item: KeyValue | undefined,
  nowMs: Ms,
  rules: FenceRules,
): FenceChange {
  const parsed = readValue(item);
  if (parsed.err) return retry(state, parsed.val, nowMs);
  const found = parsed.val;
  const seen = { ...state, revision: item?.revision ?? (0 as Revision) };
  if (state.phase === 'held') {
    if (!rules.isSuperseded(state, found)) return confirmRecorded(seen, found.intents);
    const superseded = { ...seen, phase: after(state.phase, 'overtaken') };
    return { state: superseded, effects: [{ type: 'superseded', by: found.incarnation }] };
  }
  if (found.owner === state.owner) return take(seen, found);
  return write(seen, (found.incarnation + 1) as Incarnation, rules.inheritedIntents(found), nowMs);
}

type Handler<Type extends FenceEvent['type']> = (
  state: FenceState,
  event: Extract<FenceEvent, { type: Type }>,
  nowMs: Ms,
  rules: FenceRules,
) => FenceChange;

const HANDLERS: { readonly [Type in FenceEvent['type']]: Handler<Type> } = {
  tick: (state) => ({ state, effects: [] }),
  wanted: (state, { intents }) => ({ state: { ...state, wanted: intents }, effects: [] }),
  read: (state, { item }, nowMs, rules) =>
    inspectKey({ ...state, failures: 0 }, item, nowMs, rules),
  swapped(state, { outcome }, nowMs, rules) {
    if (outcome.type === 'conflict') return inspectKey(state, outcome.current, nowMs, rules);
    const { writing } = state;
    const written = { ...state, revision: outcome.revision, failures: 0 };
    if (!writing) return { state: written, effects: [] };
    return state.phase === 'absent'
      ? take(written, writing)
      : confirmRecorded(written, writing.intents);
  },
  'store-failed': (state, { failure }, nowMs, rules) => {
    const retried = retry(state, failure, nowMs);
    const isLost = failure.type === 'store-outcome-unknown' && state.phase === 'held';
    if (!isLost || !rules.trustsLostAnswer) return retried;
    const trusted = confirmRecorded(retried.state, state.writing?.intents ?? []);
    return { state: trusted.state, effects: [...retried.effects, ...trusted.effects] };
  },
};

const CALL_RESULTS: ReadonlySet<FenceEvent['type']> = new Set(['read', 'swapped', 'store-failed']);

/**
 * Owns an upstream's key in the store: takes an incarnation by compare-and-swap, and keeps the orders that
 * may have been sent written there. One call is in flight at a time; after a lost answer the key is read.
 */
export function stepFence(
  state: FenceState,
  event: FenceEvent,
  nowMs: Ms,
  rules: FenceRules = defaultFenceRules,
): FenceChange {
  if (state.phase === 'superseded') return { state, effects: [] };
  const answered: FenceState = CALL_RESULTS.has(event.type)
    ? { ...state, call: 'none', failing: false, retryAtMs: 0 }
    : state;
  const handle = HANDLERS[event.type] as Handler<FenceEvent['type']>;
  const handled = handle(answered, event, nowMs, rules);
  const called = sendNextCall(handled.state, nowMs);
  return { state: called.state, effects: [...handled.effects, ...called.effects] };
}

import type { Ms } from '../../base/index.js';
import type { Account } from './account.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';
import { limitOf } from './limitof.js';
import { refuseWaiting } from './refusewaiting.js';
import { startRequest } from './startrequest.js';
import type { Waiting } from './waiting.js';

const URGENT = 0;
const NORMAL = 2;
const FIRST_BACKGROUND = 4;
/** Fraction of its share below which a customer counts as underusing it. */
const UNDERUSED = 0.5;

/** Dequeues the next request of a lane; undefined if none may start. */
type Take = () => Waiting | undefined;

function hasFreeSlot(state: AdmissionState, index: number): boolean {
  if (state.running.size >= limitOf(state, index)) return false;
  return !LANES[index]!.longJobs || state.longRunning < state.policy.longJobs;
}

/** Starts requests that `take` returns while slots are free. */
function fill(
  state: AdmissionState,
  index: number,
  use: keyof Account['used'],
  take: Take,
  nowMs: Ms,
): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  while (hasFreeSlot(state, index)) {
    const next = take();
    if (!next) break;
    if (next.latestStartAtMs < nowMs) {
      effects.push(refuseWaiting(state, next, 'deadline-unmeetable', nowMs));
      continue;
    }
    next.counted = state.accounts.of(next.offer.customer).used[use];
    next.counted.add(next.holdMs, nowMs);
    effects.push(startRequest(state, next, nowMs));
  }
  return effects;
}

/** Starts a lane's requests within their customers' shares; the customer that used least of its share goes first. */
function fillWithin(state: AdmissionState, index: number, nowMs: Ms): AdmissionEffect[] {
  const { accounts, concurrency, lanes } = state;
  const lane = lanes[index]!;
  const take = () => {
    const customer = accounts.nextWithinShare(lane.customers(), concurrency.limit, nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, index, 'within', take, nowMs);
}

/**
 * Starts requests of customers that underuse their share. These may take slots reserved for urgent work instead of
 * waiting for a slot below the limit, so that they do not wait long behind the running requests of other customers.
 */
function fillUnderused(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const { accounts, concurrency, lanes } = state;
  const lane = lanes[NORMAL]!;
  const take = () => {
    const limit = UNDERUSED * concurrency.limit;
    const customer = accounts.nextWithinShare(lane.customers(), limit, nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, URGENT, 'within', take, nowMs);
}

/**
 * Starts requests beyond their customers' shares in the capacity that other customers leave unused. All customers
 * count equally here, so that the largest does not take everything; a customer's urgent requests go before its others.
 */
function fillBeyond(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const { accounts, lanes } = state;
  const urgent = lanes[URGENT]!;
  const normal = lanes[NORMAL]!;
  const take = () => {
    const customers = new Set([...urgent.customers(), ...normal.customers()]);
    const customer = accounts.nextBeyondShare(customers, nowMs);
    return customer === undefined
      ? undefined
      : (urgent.takeOf(customer) ?? normal.takeOf(customer));
  };
  return fill(state, NORMAL, 'beyond', take, nowMs);
}

/** Starts background work, and long jobs beyond their customers' shares. */
function fillBackground(state: AdmissionState, index: number, nowMs: Ms): AdmissionEffect[] {
  const lane = state.lanes[index]!;
  const take = () => {
    const customer = state.accounts.nextBackground(lane.customers(), nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, index, 'background', take, nowMs);
}

/** Starts all requests that may start now: no slot stays free while a queued request may use it. */
export function dispatch(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  for (let index = 0; index < FIRST_BACKGROUND; index += 1) {
    if (state.lanes[index]!.count > 0) effects.push(...fillWithin(state, index, nowMs));
  }
  if (state.lanes[NORMAL]!.count > 0) effects.push(...fillUnderused(state, nowMs));
  const beyond = state.lanes[URGENT]!.count + state.lanes[NORMAL]!.count;
  if (beyond > 0) effects.push(...fillBeyond(state, nowMs));
  for (let index = 1; index < LANES.length; index += 1) {
    const last = LANES[index]!.longJobs || LANES[index]!.background;
    if (last && state.lanes[index]!.count > 0) effects.push(...fillBackground(state, index, nowMs));
  }
  return effects;
}

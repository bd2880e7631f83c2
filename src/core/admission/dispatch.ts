import type { Ms } from '../../base/index.js';
import type { Account } from './account.js';
import type { AdmissionEffect } from './admissioneffect.js';
import type { AdmissionState } from './admissionstate.js';
import { LANES } from './lanes.js';
import { limitOf } from './limitof.js';
import { refuseWaiting } from './refusewaiting.js';
import { start } from './start.js';
import type { Waiting } from './waiting.js';

const URGENT = 0;
const NORMAL = 2;
const FIRST_BACKGROUND = 4;
/** Part of its share up to which a customer counts as having used little. */
const LITTLE = 0.5;

/** Takes the next request of a lane; undefined when there is none that may start. */
type Take = () => Waiting | undefined;

function hasPlace(state: AdmissionState, index: number): boolean {
  if (state.running.size >= limitOf(state, index)) return false;
  return !LANES[index]!.longJobs || state.longRunning < state.policy.longJobs;
}

/** Starts what a lane gives out while there are places. */
function fill(
  state: AdmissionState,
  index: number,
  use: keyof Account['used'],
  take: Take,
  nowMs: Ms,
): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  while (hasPlace(state, index)) {
    const next = take();
    if (!next) break;
    if (next.latestStartAtMs < nowMs) {
      effects.push(refuseWaiting(state, next, 'deadline-unmeetable', nowMs));
      continue;
    }
    next.counted = state.accounts.of(next.offer.customer).used[use];
    next.counted.add(next.holdMs, nowMs);
    effects.push(start(state, next, nowMs));
  }
  return effects;
}

/** Customers' work within their shares, lane by lane: who has used least of its share goes first. */
function fillWithin(state: AdmissionState, index: number, nowMs: Ms): AdmissionEffect[] {
  const { accounts, pace, lanes } = state;
  const lane = lanes[index]!;
  const take = () => {
    const customer = accounts.nextWithin(lane.customers(), pace.limit, nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, index, 'within', take, nowMs);
}

/**
 * Who has used little of its share does not wait for a place below the limit: it takes one of those that
 * are kept for urgent work, so that nobody waits long behind what others have running.
 */
function fillLittleUsed(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const { accounts, pace, lanes } = state;
  const lane = lanes[NORMAL]!;
  const take = () => {
    const limit = LITTLE * pace.limit;
    const customer = accounts.nextWithin(lane.customers(), limit, nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, URGENT, 'within', take, nowMs);
}

/**
 * What customers offer beyond their shares uses what the others leave. Each customer counts alike here,
 * so that the largest does not take it all; its urgent work goes before its own other work.
 */
function fillBeyond(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const { accounts, lanes } = state;
  const urgent = lanes[URGENT]!;
  const normal = lanes[NORMAL]!;
  const take = () => {
    const customers = new Set([...urgent.customers(), ...normal.customers()]);
    const customer = accounts.nextBeyond(customers, nowMs);
    return customer === undefined
      ? undefined
      : (urgent.takeOf(customer) ?? normal.takeOf(customer));
  };
  return fill(state, NORMAL, 'beyond', take, nowMs);
}

/** Background work, and long jobs beyond their customers' shares. */
function fillBackground(state: AdmissionState, index: number, nowMs: Ms): AdmissionEffect[] {
  const lane = state.lanes[index]!;
  const take = () => {
    const customer = state.accounts.nextBackground(lane.customers(), nowMs);
    return customer === undefined ? undefined : lane.takeOf(customer);
  };
  return fill(state, index, 'background', take, nowMs);
}

/** Starts what may start now: no place stays free while somebody may use it. */
export function dispatch(state: AdmissionState, nowMs: Ms): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  for (let index = 0; index < FIRST_BACKGROUND; index += 1) {
    if (state.lanes[index]!.count > 0) effects.push(...fillWithin(state, index, nowMs));
  }
  if (state.lanes[NORMAL]!.count > 0) effects.push(...fillLittleUsed(state, nowMs));
  const beyond = state.lanes[URGENT]!.count + state.lanes[NORMAL]!.count;
  if (beyond > 0) effects.push(...fillBeyond(state, nowMs));
  for (let index = 1; index < LANES.length; index += 1) {
    const last = LANES[index]!.longJobs || LANES[index]!.background;
    if (last && state.lanes[index]!.count > 0) effects.push(...fillBackground(state, index, nowMs));
  }
  return effects;
}

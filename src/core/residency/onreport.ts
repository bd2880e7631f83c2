import type { Ms } from '../../base/index.js';
import type { EngineReport } from '../../port/index.js';
import { applyReport, type Ledger, type OpenOrder } from '../ledger/index.js';
import type { Changed } from './changed.js';
import type { ResidencyEffect } from './residencyeffect.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';

/** Smoothing factor of the measured load speed. */
const SMOOTHING = 0.3;

/** Faster loads are ignored for the load speed: the model was in memory already. */
const MIN_LOAD_MS: Ms = 50;

function updateLoadSpeed(known: number, { order, lastSentAtMs }: OpenOrder, nowMs: Ms): number {
  const tookMs = nowMs - lastSentAtMs;
  if (order.action !== 'load-model' || tookMs < MIN_LOAD_MS) return known;
  const measured = (order.sizeBytes ?? 0) / tookMs;
  return known * (1 - SMOOTHING) + measured * SMOOTHING;
}

function isSame(before: Ledger, after: Ledger): boolean {
  if (before.engineId !== after.engineId || before.role !== after.role) return false;
  if (before.holdings.size !== after.holdings.size) return false;
  for (const [key, { phase }] of after.holdings) {
    if (before.holdings.get(key)?.phase !== phase) return false;
  }
  return true;
}

/** Applies an engine's report. */
export function onReport(
  state: ResidencyState,
  { poll, report }: { readonly poll: number; readonly report: EngineReport },
  nowMs: Ms,
  rules: ResidencyRules,
): Changed {
  const taken = applyReport(state.ledger, report, poll, state.checksFencing, rules.ledger);
  if (!taken.isNewReport) return { state, effects: [] };
  let { loadBytesPerMs } = state;
  for (const open of taken.resolved) loadBytesPerMs = updateLoadSpeed(loadBytesPerMs, open, nowMs);
  const effects: ResidencyEffect[] = taken.resolved.map((open) => ({ type: 'resolved', open }));
  if (!isSame(state.ledger, taken.ledger)) effects.push({ type: 'changed' });
  const isLeaving = state.isLeaving || report.leaving;
  if (isLeaving !== state.isLeaving) effects.push({ type: 'changed' });
  const isManaged = report.memoryBytes > 0;
  const isSuperseded = state.isSuperseded || rules.showsSuccessor(state, report);
  const known = { ledger: taken.ledger, loadBytesPerMs, isLeaving, isManaged, isSuperseded };
  return { state: { ...state, ...known }, effects };
}

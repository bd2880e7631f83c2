import type { Ms } from '../../base/index.js';
import { usableBytes } from '../ledger/index.js';
import { desiredOf, roomOf, type Plan } from '../reconcile/index.js';
import type { Changed } from './changed.js';
import { fail } from './fail.js';
import type { ResidencyFailure } from './residencyfailure.js';
import type { ResidencyRules } from './residencyrules.js';
import type { ResidencyState } from './residencystate.js';
import { superseded } from './superseded.js';
import { viewOf } from './viewof.js';

function answer(
  state: ResidencyState,
  accepted: boolean,
  failure: ResidencyFailure | undefined,
): Changed {
  const epoch = state.plan?.epoch ?? 0;
  return { state, effects: [{ type: 'plan-answered', accepted, epoch, failure }] };
}

function isOlder(plan: Plan, held: Plan | undefined): boolean {
  if (!held) return false;
  if (plan.epoch !== held.epoch) return plan.epoch < held.epoch;
  return plan.sequence < held.sequence;
}

function refusalOf(
  state: ResidencyState,
  upstream: string,
  plan: Plan,
): ResidencyFailure | undefined {
  if (upstream !== state.upstream) {
    return fail('plan-wrong-upstream', `The plan is for ${upstream}.`);
  }
  if (state.isSuperseded) return superseded();
  if (isOlder(plan, state.plan)) {
    return fail(
      'plan-epoch-old',
      'A plan with a later epoch or sequence is in force on this upstream.',
    );
  }
  const { catalogue, ledger } = state;
  if (!state.isManaged) return fail('memory-unknown', 'This engine manages its memory itself.');
  if (!catalogue) return fail('memory-unknown', 'The sidecar has not received the document yet.');
  const desired = desiredOf(plan.models, catalogue);
  const role = plan.role ?? ledger.role;
  const bytes = desired.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
  const forModels = usableBytes(ledger) - ledger.kvCacheReserveBytes[role];
  if (bytes <= forModels) return undefined;
  return fail('plan-does-not-fit', `The plan needs ${bytes} bytes; ${forModels} are available.`);
}

/** Returns a failure if a new version fits neither next to the old one nor in its place. */
function versionFailure(
  state: ResidencyState,
  nowMs: Ms,
  rules: ResidencyRules,
): ResidencyFailure | undefined {
  const view = viewOf(state, nowMs, rules);
  for (const desired of view.desired) {
    const { key, model, adapter } = desired;
    if (adapter || view.ledger.holdings.has(key)) continue;
    const holdings = [...view.ledger.holdings.values()];
    const hasOld = holdings.some((holding) => holding.model === model && !holding.adapter);
    if (!hasOld || roomOf(view, desired).type !== 'none') continue;
    const detail = `${key} does not fit next to the older version; place ${model} elsewhere first.`;
    return fail('version-needs-room', detail);
  }
  return undefined;
}

/** Accepts a plan, unless it is older than the one in force, for another upstream, or impossible. */
export function onPlan(
  state: ResidencyState,
  { upstream, plan }: { readonly upstream: string; readonly plan: Plan },
  nowMs: Ms,
  rules: ResidencyRules,
): Changed {
  const failure = refusalOf(state, upstream, plan);
  if (failure) return answer(state, false, failure);
  const planned = { ...state, plan };
  return answer(planned, true, versionFailure(planned, nowMs, rules));
}

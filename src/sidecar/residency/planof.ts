import type { Plan } from '../../core/reconcile/index.js';
import type { PlacementPlan } from '../../wire/index.js';

const ROLES: ReadonlySet<string> = new Set(['mixed', 'prefill', 'decode']);

/** Converts a plan from its wire format. An unknown role becomes undefined. */
export function planOf({ epoch, sequence, models, role, keepUntilPlaced }: PlacementPlan): Plan {
  const wanted = ROLES.has(role) ? (role as Plan['role']) : undefined;
  return { epoch, sequence, models, role: wanted, keepUntilPlaced };
}

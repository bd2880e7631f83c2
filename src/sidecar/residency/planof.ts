import type { Plan } from '../../core/reconcile/index.js';
import type { PlacementPlan } from '../../wire/index.js';

const ROLES: ReadonlySet<string> = new Set(['mixed', 'prefill', 'decode']);

/** A plan as it came over the wire. */
export function planOf({ epoch, sequence, models, role, keepUntilPlaced }: PlacementPlan): Plan {
  const wanted = ROLES.has(role) ? (role as Plan['role']) : undefined;
  return { epoch, sequence, models, role: wanted, keepUntilPlaced };
}

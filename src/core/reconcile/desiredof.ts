import type { AdapterId, ModelId } from '../../base/index.js';
import { holdingKeyOf } from '../ledger/index.js';
import type { Catalogue } from './catalogue.js';
import type { DesiredHolding } from './desiredholding.js';
import type { Plan } from './plan.js';

/** A requested model with its adapters. */
type PlannedModel = Plan['models'][number];

function modelOf(planned: PlannedModel, catalogue: Catalogue): DesiredHolding[] {
  const known = catalogue.models.get(planned.model);
  if (!known) return [];
  const model = planned.model as ModelId;
  const version = planned.version || known.version;
  const { sizeBytes } = known;
  const key = holdingKeyOf(model, version);
  return [{ key, model, version, sizeBytes, urgency: planned.urgency }];
}

function adaptersOf(
  planned: PlannedModel,
  base: DesiredHolding,
  catalogue: Catalogue,
): DesiredHolding[] {
  const { model, version, urgency } = base;
  const wanted: DesiredHolding[] = [];
  for (const id of planned.adapters) {
    const known = catalogue.adapters.get(id);
    if (known?.model !== model) continue;
    const key = holdingKeyOf(model, version, id);
    const { sizeBytes } = known;
    wanted.push({ key, model, version, adapter: id as AdapterId, sizeBytes, urgency });
  }
  return wanted;
}

/** Resolves requested models to holdings, the most urgent first. Omits what the document does not list. */
export function desiredOf(
  requested: readonly PlannedModel[],
  catalogue: Catalogue,
): DesiredHolding[] {
  const byKey = new Map<string, DesiredHolding>();
  for (const planned of requested) {
    const [base] = modelOf(planned, catalogue);
    if (!base) continue;
    for (const desired of [base, ...adaptersOf(planned, base, catalogue)]) {
      const known = byKey.get(desired.key);
      if (!known || known.urgency < desired.urgency) byKey.set(desired.key, desired);
    }
  }
  return [...byKey.values()].sort((a, b) => b.urgency - a.urgency);
}

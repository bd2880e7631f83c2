import type { AdapterId, ModelId } from '../../base/index.js';
import { nameHolding } from '../ledger/index.js';
import type { Catalogue } from './catalogue.js';
import type { DesiredHolding } from './desiredholding.js';
import type { Plan } from './plan.js';

/** A model, with its adapters, that is wanted. */
type Wish = Plan['models'][number];

function modelOf(wish: Wish, catalogue: Catalogue): DesiredHolding[] {
  const known = catalogue.models.get(wish.model);
  if (!known) return [];
  const model = wish.model as ModelId;
  const version = wish.version || known.version;
  const { sizeBytes } = known;
  const key = nameHolding(model, version);
  return [{ key, model, version, sizeBytes, urgency: wish.urgency }];
}

function adaptersOf(wish: Wish, base: DesiredHolding, catalogue: Catalogue): DesiredHolding[] {
  const { model, version, urgency } = base;
  const wanted: DesiredHolding[] = [];
  for (const id of wish.adapters) {
    const known = catalogue.adapters.get(id);
    if (known?.model !== model) continue;
    const key = nameHolding(model, version, id);
    const { sizeBytes } = known;
    wanted.push({ key, model, version, adapter: id as AdapterId, sizeBytes, urgency });
  }
  return wanted;
}

/** What the wishes ask to hold, the most urgent first; what the document does not know is left out. */
export function desiredOf(wishes: readonly Wish[], catalogue: Catalogue): DesiredHolding[] {
  const byKey = new Map<string, DesiredHolding>();
  for (const wish of wishes) {
    const [base] = modelOf(wish, catalogue);
    if (!base) continue;
    for (const desired of [base, ...adaptersOf(wish, base, catalogue)]) {
      const known = byKey.get(desired.key);
      if (!known || known.urgency < desired.urgency) byKey.set(desired.key, desired);
    }
  }
  return [...byKey.values()].sort((a, b) => b.urgency - a.urgency);
}

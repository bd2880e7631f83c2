import type { TraitId } from '../../base/index.js';
import { partTrait } from '../../core/poison/index.js';

/** Returns the log fields that name a trait: a part of prompts, or the content of a request. */
export function traitFields(trait: TraitId): { readonly part?: string; readonly content?: string } {
  const part = partTrait.partOf(trait);
  return part === undefined ? { content: trait } : { part };
}

import type { PromptPartId, TraitId } from '../../base/index.js';

/** Not a character of the ids of contents. */
const PREFIX = 'part:';

/** Converts between parts of prompts and the traits of the requests that hold them. */
export const partTrait = {
  of: (part: PromptPartId): TraitId => `${PREFIX}${part}` as TraitId,

  /** Returns the part that a trait stands for; undefined for a content. */
  partOf: (trait: TraitId): PromptPartId | undefined =>
    trait.startsWith(PREFIX) ? (trait.slice(PREFIX.length) as PromptPartId) : undefined,
};

import type { TraitId } from '../../base/index.js';

/** How a request is treated, by its traits. */
export type Assessment =
  | { readonly verdict: 'sound' }
  /** The traits that the request may only run with as a trial. */
  | { readonly verdict: 'suspect'; readonly traits: readonly TraitId[] }
  /** The trait that bars the request. */
  | { readonly verdict: 'poison'; readonly trait: TraitId };

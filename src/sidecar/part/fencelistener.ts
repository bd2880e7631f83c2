import type { FenceEffect } from '../../core/fence/index.js';

/** Is told when the hold on the upstream's key changes. */
export type FenceListener = (
  effect: Extract<FenceEffect, { type: 'taken' | 'recorded' | 'superseded' | 'store-failing' }>,
) => void;

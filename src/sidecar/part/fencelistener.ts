import type { FenceEffect } from '../../core/fence/index.js';

/** Called when the incarnation is taken or superseded, when intents are recorded, and when the store fails. */
export type FenceListener = (
  effect: Extract<FenceEffect, { type: 'taken' | 'recorded' | 'superseded' | 'store-failing' }>,
) => void;

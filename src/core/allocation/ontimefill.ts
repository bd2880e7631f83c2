import { allocationRules } from './allocationrules.js';

/** Returns the share of its slots up to which an engine answers on time. It rises with the prefill speed. */
export function onTimeFill(promptsPerGap: number | undefined): number {
  const { onTimeFill: base, basePrompts, maxFillFactor } = allocationRules;
  const factor = ((promptsPerGap ?? basePrompts) / basePrompts) ** 2;
  return base * Math.min(maxFillFactor, Math.max(1, factor));
}

import { allocationRules } from './allocationrules.js';

/** From which part of its slots on an engine's answers begin to come late, by how fast it reads prompts. */
export function calmFill(promptsPerPause: number | undefined): number {
  const { calmFill: least, fewPrompts, mostRaise } = allocationRules;
  const raise = ((promptsPerPause ?? fewPrompts) / fewPrompts) ** 2;
  return least * Math.min(mostRaise, Math.max(1, raise));
}

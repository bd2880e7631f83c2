import { allocationRules } from './allocationrules.js';

/** Requests at an engine vary by chance; so many standard deviations of a Poisson number are to find a slot. */
const DEVIATIONS = 2;

/** The part of its slots that may be taken on average so that requests hardly ever wait for one: 0.57 of 12, 0.78 of 64. */
function headroom(slots: number): number {
  const spread = DEVIATIONS / Math.sqrt(Math.max(1, slots));
  return ((Math.sqrt(spread ** 2 + 4) - spread) / 2) ** 2;
}

/** From which part of its slots on an engine's answers begin to come late, by its slots and how fast it reads prompts. */
export function calmFill(slots: number, promptsPerPause: number | undefined): number {
  const { calmFill: least, fewPrompts, mostRaise } = allocationRules;
  const raise = ((promptsPerPause ?? fewPrompts) / fewPrompts) ** 2;
  const byPrompts = least * Math.min(mostRaise, Math.max(1, raise));
  return Math.min(byPrompts, Math.max(least, headroom(slots)));
}

import type { Curve } from '../../standin/index.js';
import type { Ask } from './ask.js';

const PACE_GOAL_MS = 53;
const PREFIX_PART = 0.5;

/** Part of a prompt that other requests share. */
export const prefixTokensOf = (promptTokens: number): number =>
  Math.floor(promptTokens * PREFIX_PART);

/** Engine time that one request adds at least: its own part of the prompt, and its tokens. */
export function costMs(
  curve: Curve,
  {
    promptTokens,
    prefixTokens,
    outputTokens,
    serviceMs,
  }: Omit<Ask, 'requestId' | 'atMs' | 'customer' | 'kind' | 'model' | 'prefix'>,
): number {
  if (outputTokens === 0) return serviceMs;
  return (
    (promptTokens - prefixTokens) * curve.prefillTokenMs + outputTokens * curve.stepMsPerRequest
  );
}

/** Engine time of such costs that one engine does in one ms while it keeps its token pace. */
export function capacityPerMs(curve: Curve): number {
  return 1 - (curve.stepMs - curve.stepMsPerRequest) / PACE_GOAL_MS;
}

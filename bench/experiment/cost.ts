import type { Curve } from '../../standin/index.js';
import type { WorkloadRequest } from './workloadrequest.js';

const PACE_GOAL_MS = 53;
const PREFIX_FRACTION = 0.5;

/** Number of prompt tokens that other requests share. */
export const prefixTokensOf = (promptTokens: number): number =>
  Math.floor(promptTokens * PREFIX_FRACTION);

/** Minimum engine time of one request: its unshared prompt tokens and its output tokens. */
export function costMs(
  curve: Curve,
  {
    promptTokens,
    prefixTokens,
    outputTokens,
    serviceMs,
  }: Omit<WorkloadRequest, 'requestId' | 'atMs' | 'customer' | 'kind' | 'model' | 'prefix'>,
): number {
  if (outputTokens === 0) return serviceMs;
  return (
    (promptTokens - prefixTokens) * curve.prefillTokenMs + outputTokens * curve.stepMsPerRequest
  );
}

/** Cost in ms that one engine completes per ms while it keeps the token pace. */
export function capacityPerMs(curve: Curve): number {
  return 1 - (curve.stepMs - curve.stepMsPerRequest) / PACE_GOAL_MS;
}

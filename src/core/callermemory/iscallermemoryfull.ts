import { callerMemoryRules as rules } from './callermemoryrules.js';

/**
 * Returns true if requests have to be refused. Answers that stand are given up before that, so that upstreams which
 * begin many answers and end none cannot shut callers out.
 */
export function isCallerMemoryFull(
  { callerBytes, totalBytes }: { readonly callerBytes: number; readonly totalBytes: number },
  limitBytes: number,
): boolean {
  return callerBytes > limitBytes || totalBytes > limitBytes * rules.severe;
}

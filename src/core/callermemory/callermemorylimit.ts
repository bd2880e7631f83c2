import { callerMemoryRules as rules } from './callermemoryrules.js';

/** Returns how many bytes callers may take on a machine with this much memory. */
export function callerMemoryLimit(machineBytes: number): number {
  return Math.max(rules.minBytes, Math.floor((machineBytes - rules.processBytes) * rules.part));
}

import { connectionRules } from './connectionrules.js';

/** Returns how many connections to an upstream each entry may open without a loan. */
export function baseConnections(maxConnections: number, parts: number): number {
  const { minBase, evenPart } = connectionRules;
  return Math.max(minBase, Math.floor((maxConnections * evenPart) / parts));
}

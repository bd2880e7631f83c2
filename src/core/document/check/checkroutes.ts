import type { Check } from './check.js';
import type { Finding } from './finding.js';

/**
 * Finds routes that two groups of plain services assign to different kinds: whether such a call may be
 * repeated would depend on the group that receives it.
 */
export const checkRoutes: Check = ({ groups }) => {
  const kinds = new Map<string, string>();
  const findings: Finding[] = [];
  for (const [group, { routes = [] }] of groups.entries()) {
    for (const [index, { method, pathPrefix, kind }] of routes.entries()) {
      const call = `${method} ${pathPrefix}`;
      const other = kinds.get(call);
      if (other !== undefined && other !== kind) {
        const pointer = `/groups/${group}/routes/${index}/kind`;
        const detail = `${call} is of kind ${other} in another group`;
        findings.push({ type: 'document-duplicate', pointer, detail });
      }
      kinds.set(call, kind);
    }
  }
  return findings;
};

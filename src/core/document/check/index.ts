import { checkFit } from './checkfit.js';
import { checkMemory } from './checkmemory.js';
import { checkNames } from './checknames.js';
import { checkOwner } from './checkowner.js';
import { checkPlaceable } from './checkplaceable.js';
import { checkReferences } from './checkreferences.js';
import { checkRoutes } from './checkroutes.js';
import type { Check } from './check.js';

export type { Finding } from './finding.js';

/** All checks of a document that conforms to the schema, by name. */
export const checks: Readonly<Record<string, Check>> = {
  owner: checkOwner,
  names: checkNames,
  references: checkReferences,
  routes: checkRoutes,
  memory: checkMemory,
  placeable: checkPlaceable,
  fit: checkFit,
};

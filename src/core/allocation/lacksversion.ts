import type { HeldModel } from './heldmodel.js';
import type { LoadProjection } from './loadprojection.js';
import type { Site } from './site.js';

/**
 * Returns true if streams of a model wait to be continued at an engine's software version and no replica has it, other
 * than one at `except`.
 */
export function lacksVersion(
  { input, hasSeveralVersions }: LoadProjection,
  { model, sites }: HeldModel,
  { upstream: { softwareVersion } }: Site,
  except?: Site,
): boolean {
  // Where one version serves a stream can go on wherever its model is, like any other request.
  if (!hasSeveralVersions) return false;
  const continuedAt = input.demand.get(model)?.continuedAt;
  if (softwareVersion === undefined || !continuedAt?.has(softwareVersion)) return false;
  return !sites.some(
    (site) => site !== except && site.upstream.softwareVersion === softwareVersion,
  );
}

import { UnmanagedResidency } from '../unmanagedresidency.js';
import type { Context, Residency } from '../part/index.js';
import { EngineResidency, publishPlain } from '../residency/index.js';

/** Creates the residency: managed for an engine, unmanaged for a plain service. */
export function createResidency(context: Context): Residency {
  const { engine } = context;
  if (engine) return new EngineResidency({ ...context, engine });
  const residency = new UnmanagedResidency(publishPlain(context));
  context.onLeaving(() => residency.leave());
  return residency;
}

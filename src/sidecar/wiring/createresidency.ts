import { OpenResidency } from '../openresidency.js';
import type { Context, Residency } from '../part/index.js';
import { EngineResidency, publishPlain } from '../residency/index.js';

/** Memory of this sidecar's upstream. */
export function createResidency(context: Context): Residency {
  const { engine } = context;
  if (engine) return new EngineResidency({ ...context, engine });
  const residency = new OpenResidency(publishPlain(context));
  context.onLeaving(() => residency.leave());
  return residency;
}

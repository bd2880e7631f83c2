import type { Engine } from '../../port/index.js';
import type { Context } from '../part/index.js';

/** Dependencies of `EngineResidency`: the sidecar's context with an engine. */
export type ResidencyPorts = Context & { readonly engine: Engine };

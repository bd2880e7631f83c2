import type { Engine } from '../../port/index.js';
import type { Context } from '../part/index.js';

/** What the memory of an engine needs: a sidecar's context, with the engine. */
export type ResidencyPorts = Context & { readonly engine: Engine };

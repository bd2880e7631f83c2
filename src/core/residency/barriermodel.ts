import type { ModelId } from '../../base/index.js';

/**
 * Id of a model that does not exist: unloading it only raises the highest fencing token seen by the engine. Setting the
 * present role again would not be neutral: it could undo a role change that an earlier sidecar has in progress.
 */
export const barrierModel = 'tarragonstile-no-model' as ModelId;

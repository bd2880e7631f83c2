import type { ModelId } from '../../base/index.js';

/**
 * Names no model: to unload it changes nothing but the fencing token that the engine has seen. To set the
 * present role again is no such order: it may undo a change that an earlier sidecar has under way.
 */
export const noModel = 'tarragonstile-no-model' as ModelId;

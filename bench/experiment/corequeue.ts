import { admission, startAdmission, reportLoad } from '../../src/core/admission/index.js';
import type { MakeQueue } from './queuepolicy.js';

/** The sidecar's admission core. */
export const coreQueue: MakeQueue = (policy) => {
  const state = startAdmission(policy);
  return {
    step: (event, nowMs) => admission(state, event, nowMs).effects,
    load: (atMs) => ({ ...reportLoad(state), atMs }),
  };
};

import type { Admission, Residency, RunOnce } from './part/index.js';

/** The parts of a sidecar that a request passes through on its way to the upstream. */
export interface Parts {
  readonly admission: Admission;
  readonly residency: Residency;
  readonly runOnce: RunOnce;
}

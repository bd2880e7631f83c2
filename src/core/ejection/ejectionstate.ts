import type { Ms } from '../../base/index.js';

/** Whether one upstream is out of service because its answers were rejected. */
export interface EjectionState {
  /** True until a sound answer arrives to a request that was sent after the ejection. */
  readonly isEjected: boolean;
  /** When an answer was last rejected; -Infinity if none was. */
  readonly rejectedAtMs: Ms;
  /** End of the ejection, if the upstream is ejected: probes may be sent from then on. */
  readonly untilMs: Ms;
  /** No probe may be sent before this time, as one before it has shown nothing. */
  readonly nextProbeMs: Ms;
  /** True while a probe is under way. */
  readonly isProbed: boolean;
  /** Rejections that determine the length of the next ejection. */
  readonly rejectedCount: number;
  /** Sound answers since the last rejection. */
  readonly soundCount: number;
  /** Answers without end since the last sound answer. */
  readonly endlessCount: number;
}

import type { AdmissionPolicy } from '../../core/admission/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { SidecarSettings } from '../sidecarsettings.js';

/** Time between tokens that 95 in 100 have to keep. */
const PACE_GOAL_MS = 53;
/** Until a document is in force. */
const DEFAULT_LONG_JOBS = 4;
const DEFAULT_QUEUE_LIMIT = 200;

type Settings = Pick<SidecarSettings, 'slots' | 'upstream' | 'upstreamType'>;

/** What the document in force says about admission at this upstream; without one, the settings do. */
export function policyOf(settings: Settings, document?: ServiceDocument): AdmissionPolicy {
  const group = document?.groups.find(({ upstreams }) =>
    upstreams.some(({ id }) => id === settings.upstream),
  );
  return {
    type: settings.upstreamType,
    kinds: document?.kinds ?? [],
    customers: document?.customers ?? [],
    slots: group?.slots ?? settings.slots,
    paceGoalMs: PACE_GOAL_MS,
    longJobs: document?.limits.longJobsPerUpstream ?? DEFAULT_LONG_JOBS,
    queueLimit: document?.limits.queuePerUpstream ?? DEFAULT_QUEUE_LIMIT,
  };
}

import type { AdmissionPolicy } from '../../core/admission/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import type { SidecarSettings } from '../sidecarsettings.js';

/** Target for the 95th percentile of the time between tokens. */
const TARGET_TOKEN_GAP_MS = 53;
/** Defaults until a document is in force. */
const DEFAULT_LONG_JOBS = 4;
const DEFAULT_QUEUE_LIMIT = 200;

type Settings = Pick<SidecarSettings, 'slots' | 'upstream' | 'upstreamType'>;

/** Returns the admission policy for this upstream: from the document in force, else from the settings. */
export function policyOf(settings: Settings, document?: ServiceDocument): AdmissionPolicy {
  const group = document?.groups.find(({ upstreams }) =>
    upstreams.some(({ id }) => id === settings.upstream),
  );
  return {
    type: settings.upstreamType,
    kinds: document?.kinds ?? [],
    customers: document?.customers ?? [],
    slots: group?.slots ?? settings.slots,
    paceGoalMs: TARGET_TOKEN_GAP_MS,
    longJobs: document?.limits.longJobsPerUpstream ?? DEFAULT_LONG_JOBS,
    queueLimit: document?.limits.queuePerUpstream ?? DEFAULT_QUEUE_LIMIT,
  };
}

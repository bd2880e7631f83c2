/** Rules by which one lane of queued requests is served. */
interface LaneRules {
  readonly name: string;
  /** True if it holds long jobs: their number is bounded, and they can be preempted. */
  readonly longJobs: boolean;
  /** True if requests of all earlier lanes may preempt its running requests. */
  readonly background: boolean;
}

/** The lanes, in the order in which they are served. */
export const LANES: readonly LaneRules[] = [
  { name: 'urgent', longJobs: false, background: false },
  { name: 'urgent long', longJobs: true, background: false },
  { name: 'normal', longJobs: false, background: false },
  { name: 'normal long', longJobs: true, background: false },
  { name: 'background', longJobs: false, background: true },
  { name: 'background long', longJobs: true, background: true },
];

/** How one lane of waiting requests is served. */
interface LaneRules {
  readonly name: string;
  /** Its long jobs are bounded in number and yield. */
  readonly longJobs: boolean;
  /** Requests of all lanes before may have its running ones make room. */
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

/** Whether a revision is in force at one process. */
export interface Place {
  readonly process: string;
  readonly region: string;
  /** Revision of the service at the process; 0 if it has none or did not answer. */
  readonly revision: number;
  readonly inForce: boolean;
  /** Why the process did not answer. */
  readonly detail?: string;
}

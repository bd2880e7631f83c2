/** One process, and whether a revision is in force there. */
export interface Place {
  readonly process: string;
  readonly region: string;
  /** Revision of the service there; 0 if it has none, or did not answer. */
  readonly revision: number;
  readonly inForce: boolean;
  /** Why nothing is known, if so. */
  readonly detail?: string;
}

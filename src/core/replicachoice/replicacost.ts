/** A replica as one entry sees it. */
export interface ReplicaCost {
  readonly id: string;
  /** Load as a part of its slots, with what speaks against it. */
  readonly cost: number;
  /** False if it is full or is to be avoided: it is chosen only where no other is left. */
  readonly isGood: boolean;
}

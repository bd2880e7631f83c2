/** An entry that may keep copies for others. */
export interface Member {
  readonly entry: string;
  /** Address at which other entries reach it. */
  readonly address: string;
  readonly availabilityZone: string;
}
